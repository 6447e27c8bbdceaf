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

/** Plays short, dense trials of real node processes. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Plays short, dense trials of the front node: real processes between scripted clients, servers and",
            "discovery, with faults drawn from each seed, judged from what crossed the sockets. Exit code 3 when a",
            "rule was broken or a trial is void."
        })
final class SoakCommand implements Callable<Integer> {
    @Option(
            names = "--seeds",
            paramLabel = "FROM-TO",
            defaultValue = "1-5",
            description = "seeds to play (default: ${DEFAULT-VALUE})")
    private String seeds;

    @Option(
            names = "--kind",
            paramLabel = "KIND",
            description = "${COMPLETION-CANDIDATES}; by executor where not given")
    private TrialKind kind;

    @Option(
            names = "--home",
            paramLabel = "DIR",
            defaultValue = ".",
            description = "checkout whose deploy/balancer.toml says how a node is run, built before")
    private Path home;

    @Option(
            names = "--at-once",
            paramLabel = "N",
            defaultValue = "1",
            description = "trials side by side (default: ${DEFAULT-VALUE})")
    private int atOnce;

    @Option(names = "--logs", paramLabel = "DIR", description = "where logs are kept (default: a new folder)")
    private Path logs;

    @Option(names = "--report", paramLabel = "FILE", description = "writes the results as JSON")
    private Path report;

    @Option(names = "--shrink", description = "removes faults from the first failed trial while it still fails")
    private boolean shrink;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        List<Trial> trials = trials();
        if (atOnce < 1) {
            throw new BadInput("--at-once: " + atOnce + " is less than 1");
        }
        Path folder = logs == null ? Files.createTempDirectory("spanrill-soak") : logs;
        PrintWriter out = spec.commandLine().getOut();
        SoakRunner soak = new SoakRunner(
                NodeLaunchCommand.fromDeployFile(home.toAbsolutePath().normalize()),
                folder.toAbsolutePath(),
                line -> print(out, line));
        List<TrialResult> results = soak.run(trials, atOnce);
        print(out, SoakRunner.summaryTable(results));
        if (report != null) {
            write(results);
        }
        List<TrialResult> failed =
                results.stream().filter(r -> !r.violations().isEmpty()).toList();
        if (shrink && !failed.isEmpty()) {
            print(out, "smallest trial that still fails: " + soak.shrink(failed.get(0)));
        }
        return results.stream().allMatch(TrialResult::passed) ? Exit.HELD : Exit.RULE_BROKEN;
    }

    private static void print(PrintWriter out, String text) {
        synchronized (out) {
            out.println(text);
            out.flush();
        }
    }

    private List<Trial> trials() throws BadInput {
        String[] ends = seeds.split("-", -1);
        try {
            long from = Long.parseLong(ends[0]);
            long to = Long.parseLong(ends[ends.length - 1]);
            if (ends.length <= 2 && from <= to && to - from < 10_000) {
                return LongStream.rangeClosed(from, to)
                        .mapToObj(seed ->
                                kind == null ? TrialGenerator.generate(seed) : TrialGenerator.generate(seed, kind))
                        .toList();
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new BadInput("--seeds: '" + seeds + "' is neither a number nor FROM-TO");
    }

    private void write(List<TrialResult> results) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ArrayNode all = mapper.createArrayNode();
        for (TrialResult result : results) {
            ObjectNode one = all.addObject()
                    .put("seed", result.trial().seed())
                    .put("kind", result.trial().kind().name().toLowerCase(Locale.ROOT))
                    .put("requests", result.count(EventKind.CLIENT_SENT))
                    .put("faults", result.trial().faults().size())
                    .put("void", result.voidReason())
                    .put("lagMs", result.maxLagMs());
            ArrayNode broken = one.putArray("broken");
            result.violations()
                    .forEach(v -> broken.addObject()
                            .put("rule", v.rule().name())
                            .put("ms", v.atMs())
                            .put("request", Long.toHexString(v.session()))
                            .put("text", v.description()));
        }
        mapper.writerWithDefaultPrettyPrinter().writeValue(report.toFile(), all);
    }
}
