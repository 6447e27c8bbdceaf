package spanrill.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import spanrill.soak.EventKind;
import spanrill.soak.NodeLaunchCommand;
import spanrill.soak.SoakRunner;
import spanrill.soak.Trial;
import spanrill.soak.TrialGenerator;
import spanrill.soak.TrialKind;
import spanrill.soak.TrialResult;

/** Runs short trials of real node processes with injected faults. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Runs short trials of the front node: real processes between scripted clients, servers and discovery.",
            "Each seed determines the faults. The recorded socket traffic is checked against the protocol rules.",
            "Exit code 3 if a rule was broken or a trial is void."
        })
final class SoakCommand implements Callable<Integer> {
    @Option(
            names = "--seeds",
            paramLabel = "FROM-TO",
            defaultValue = "1-5",
            description = "seeds of the trials to run (default: ${DEFAULT-VALUE})")
    private String seeds;

    @Option(
            names = "--kind",
            paramLabel = "KIND",
            description = "kind of all trials: ${COMPLETION-CANDIDATES} (default: chosen by each seed, in turn)")
    private TrialKind kind;

    @Option(
            names = "--home",
            paramLabel = "DIR",
            defaultValue = ".",
            description = "built checkout; its deploy/balancer.toml contains the command that starts a node")
    private Path home;

    @Option(
            names = "--at-once",
            paramLabel = "N",
            defaultValue = "1",
            description = "number of trials that run in parallel (default: ${DEFAULT-VALUE})")
    private int parallelTrials;

    @Option(
            names = "--logs",
            paramLabel = "DIR",
            description = "directory for the logs (default: a new temporary directory)")
    private Path logDirectory;

    @Option(names = "--report", paramLabel = "FILE", description = "writes the results to a JSON file")
    private Path reportFile;

    @Option(names = "--shrink", description = "reduces the faults of the first failed trial as long as it still fails")
    private boolean shrink;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        List<Trial> trials = trials();
        if (parallelTrials < 1) {
            throw new BadInput("--at-once: " + parallelTrials + " is less than 1");
        }
        Path directory = logDirectory == null ? Files.createTempDirectory("spanrill-soak") : logDirectory;
        PrintWriter output = spec.commandLine().getOut();
        SoakRunner soak = new SoakRunner(
                NodeLaunchCommand.fromDeployFile(home.toAbsolutePath().normalize()),
                directory.toAbsolutePath(),
                line -> print(output, line));
        List<TrialResult> results = soak.run(trials, parallelTrials);
        print(output, SoakRunner.summaryTable(results));
        if (reportFile != null) {
            writeReport(results);
        }
        List<TrialResult> failed = results.stream()
                .filter(result -> !result.violations().isEmpty())
                .toList();
        if (shrink && !failed.isEmpty()) {
            print(output, "smallest trial that still fails: " + soak.shrink(failed.get(0)));
        }
        return results.stream().allMatch(TrialResult::passed) ? Exit.HELD : Exit.RULE_BROKEN;
    }

    private static void print(PrintWriter output, String text) {
        synchronized (output) {
            output.println(text);
            output.flush();
        }
    }

    private List<Trial> trials() throws BadInput {
        String[] bounds = seeds.split("-", -1);
        try {
            long firstSeed = Long.parseLong(bounds[0]);
            long lastSeed = Long.parseLong(bounds[bounds.length - 1]);
            if (bounds.length <= 2 && firstSeed <= lastSeed && lastSeed - firstSeed < 10_000) {
                return LongStream.rangeClosed(firstSeed, lastSeed)
                        .mapToObj(seed ->
                                kind == null ? TrialGenerator.generate(seed) : TrialGenerator.generate(seed, kind))
                        .toList();
            }
        } catch (NumberFormatException e) {
            // The exception below reports the value.
        }
        throw new BadInput("--seeds: '" + seeds + "' is neither a number nor FROM-TO");
    }

    private void writeReport(List<TrialResult> results) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ArrayNode array = mapper.createArrayNode();
        for (TrialResult result : results) {
            ObjectNode entry = array.addObject()
                    .put("seed", result.trial().seed())
                    .put("kind", result.trial().kind().name().toLowerCase(Locale.ROOT))
                    .put("requests", result.count(EventKind.CLIENT_SENT))
                    .put("faults", result.trial().faults().size())
                    .put("void", result.voidReason())
                    .put("lagMs", result.maxLagMs());
            ArrayNode violations = entry.putArray("broken");
            result.violations()
                    .forEach(v -> violations
                            .addObject()
                            .put("rule", v.rule().name())
                            .put("ms", v.atMs())
                            .put("request", Long.toHexString(v.session()))
                            .put("text", v.description()));
        }
        mapper.writerWithDefaultPrettyPrinter().writeValue(reportFile.toFile(), array);
    }
}
