package spanrill.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import spanrill.soak.NodeLaunchCommand;
import spanrill.soak.SoakRunner;
import spanrill.soak.TrialGenerator;
import spanrill.soak.TrialResult;

/** A short soak of real node processes, one trial of each kind. */
class SoakTest {
    private static final int TRIES = 3;

    @TempDir
    private Path folder;

    @Test
    void oneTrialOfEachKindBreaksNoRule() throws Exception {
        NodeLaunchCommand command =
                NodeLaunchCommand.fromDeployFile(Path.of("..").toAbsolutePath().normalize());
        List<TrialResult> results = new SoakRunner(command, folder, System.out::println)
                .run(
                        LongStream.rangeClosed(101, 107)
                                .mapToObj(TrialGenerator::generate)
                                .toList(),
                        2);
        List<String> failed = new ArrayList<>();
        for (TrialResult result : results) {
            TrialResult last = result;
            // A trial whose own peers were late says nothing: it is played again, alone.
            for (int i = 1; i < TRIES && !last.voidReason().isEmpty(); i++) {
                last = new SoakRunner(command, folder.resolve("again" + i), System.out::println)
                        .run(List.of(result.trial()), 1)
                        .get(0);
            }
            if (!last.passed()) {
                failed.add(failedCase(last));
            }
        }
        assertTrue(failed.isEmpty(), () -> String.join("\n", failed));
    }

    /** Names a failed trial as KNOWN-RED.txt does; .ci/known-red.sh compares the two. */
    private static String failedCase(TrialResult result) {
        long seed = result.trial().seed();
        return "failed case: `bin/spanrill soak --seeds " + seed + "`, seed " + seed + "\n"
                + SoakRunner.formatResult(result);
    }

    @Test
    void badInputIsSaidWithItsPlace() {
        assertEquals("soak: --seeds: '5-x' is neither a number nor FROM-TO", soak("--seeds", "5-x"));
        assertTrue(soak("--seeds", "1", "--home", "/nowhere").contains("/nowhere/deploy/balancer.toml"));
    }

    private static String soak(String... arguments) {
        StringWriter said = new StringWriter();
        CommandLine line = Main.line().setErr(new PrintWriter(said));
        String[] all = new String[arguments.length + 1];
        all[0] = "soak";
        System.arraycopy(arguments, 0, all, 1, arguments.length);
        assertTrue(line.execute(all) != Exit.HELD);
        return said.toString().trim();
    }
}
