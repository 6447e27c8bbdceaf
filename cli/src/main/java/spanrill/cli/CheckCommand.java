package spanrill.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spanrill.check.EventRecorder;
import spanrill.check.RuleChecker;
import spanrill.check.TraceEvent;
import spanrill.check.Verdict;

/** Judges records of a run. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Judges the six rules from the records of a run (what rehearse --taps wrote).")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "TAPS", description = "a file of records, or a folder with .jsonl files")
    private Path taps;

    @Option(names = "--json", description = "print the verdicts as JSON")
    private boolean json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        List<TraceEvent> events = new ArrayList<>();
        List<Verdict> verdicts;
        try {
            if (Files.isDirectory(taps)) {
                List<Path> files;
                try (Stream<Path> found = Files.list(taps)) {
                    files = found.filter(f -> f.toString().endsWith(".jsonl"))
                            .sorted()
                            .toList();
                }
                if (files.isEmpty()) {
                    throw new BadInput(taps + ": has no .jsonl file");
                }
                for (Path file : files) {
                    events.addAll(EventRecorder.read(file));
                }
            } else {
                events.addAll(EventRecorder.read(taps));
            }
            verdicts = RuleChecker.evaluate(events);
        } catch (IOException | IllegalArgumentException e) {
            throw new BadInput(e.getMessage());
        }
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(Report.rules(verdicts)));
        } else {
            Report.rulesTable(out, verdicts);
        }
        out.flush();
        return verdicts.stream().allMatch(Verdict::passed) ? Exit.HELD : Exit.RULE_BROKEN;
    }
}
