package spanrill.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spanrill.day.Day;
import spanrill.emulator.Emulator;
import spanrill.settings.Settings;

/** Holds the emulator against sockets. */
@Command(
        name = "agree",
        mixinStandardHelpOptions = true,
        description = {
            "Plays days both ways, on sockets and in virtual time, and compares: shares of answers within 3 points,",
            "delivered within 2 points, set-up p50 within 25%%, means over the seeds. Exit code 3 when they differ",
            "by more. With --from, sockets' reports are read there (DAY-SEED.json), and written there when missing."
        })
final class AgreeCommand implements Callable<Integer> {
    private static final double ANSWERS = 0.03;
    private static final double DELIVERED = 0.02;
    private static final double SET_UP = 0.25;

    @Parameters(paramLabel = "DAY", arity = "1..*", description = "day files (Jsonnet)")
    private List<Path> files;

    @Option(
            names = "--seeds",
            split = ",",
            defaultValue = "1,2,3",
            description = "seeds of each day (default: ${DEFAULT-VALUE})")
    private List<Long> seeds;

    @Option(names = "--from", paramLabel = "DIR", description = "keep sockets' reports there, and use those kept")
    private Path from;

    @Spec
    private CommandSpec spec;

    /** What one run, or the mean of several, came to. */
    private record Seen(double plays, double refused, double failed, double delivered, double setUpMs) {
        static Seen of(JsonNode report) {
            double all = Math.max(1, report.path("requests").asDouble());
            JsonNode answers = report.path("answers");
            return new Seen(
                    answers.path("plays").asDouble() / all,
                    answers.path("refused").asDouble() / all,
                    answers.path("failed").asDouble() / all,
                    report.path("delivered").asDouble(),
                    report.path("setupMs").path("p50").asDouble());
        }

        static Seen mean(List<Seen> all) {
            return new Seen(
                    all.stream().mapToDouble(Seen::plays).average().orElse(0),
                    all.stream().mapToDouble(Seen::refused).average().orElse(0),
                    all.stream().mapToDouble(Seen::failed).average().orElse(0),
                    all.stream().mapToDouble(Seen::delivered).average().orElse(0),
                    all.stream().mapToDouble(Seen::setUpMs).average().orElse(0));
        }

        boolean near(Seen other) {
            return Math.abs(plays - other.plays) <= ANSWERS
                    && Math.abs(refused - other.refused) <= ANSWERS
                    && Math.abs(failed - other.failed) <= ANSWERS
                    && Math.abs(delivered - other.delivered) <= DELIVERED
                    && Math.abs(setUpMs - other.setUpMs) <= SET_UP * other.setUpMs;
        }
    }

    @Override
    public Integer call() throws Exception {
        if (seeds.isEmpty()) {
            throw new BadInput("--seeds must name one at least");
        }
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                Locale.ROOT,
                "%-24s %5s %-9s %7s %8s %7s %10s %8s%n",
                "day",
                "seed",
                "",
                "plays",
                "refused",
                "failed",
                "delivered",
                "p50 ms");
        boolean held = true;
        for (Path file : files) {
            Day day = Settings.read(file, Day.class);
            List<Seen> sockets = new ArrayList<>();
            List<Seen> emulated = new ArrayList<>();
            for (long seed : seeds) {
                sockets.add(Seen.of(rehearsed(file, day, seed, out)));
                emulated.add(emulated(day, seed));
                print(out, file, Long.toString(seed), "sockets", sockets.get(sockets.size() - 1));
                print(out, file, Long.toString(seed), "emulated", emulated.get(emulated.size() - 1));
            }
            Seen a = Seen.mean(sockets);
            Seen b = Seen.mean(emulated);
            print(out, file, "mean", "sockets", a);
            print(out, file, "mean", "emulated", b);
            out.println(b.near(a) ? "  agrees" : "  DIFFERS");
            out.flush();
            held &= b.near(a);
        }
        return held ? Exit.HELD : Exit.RULE_BROKEN;
    }

    private JsonNode rehearsed(Path file, Day day, long seed, PrintWriter out)
            throws IOException, BadInput, InterruptedException {
        Path kept = from == null
                ? null
                : from.resolve(file.getFileName().toString().replace(".jsonnet", "") + "-" + seed + ".json");
        if (kept != null && Files.isRegularFile(kept)) {
            return new ObjectMapper().readTree(kept.toFile());
        }
        Path folder = Files.createTempDirectory("spanrill-agree");
        Report report = new Rehearsal(
                        file.toString(), day, seed, folder, null, new PrintWriter(java.io.Writer.nullWriter()))
                .run(null);
        if (!report.loadInTime()) {
            throw new IOException("the load on sockets came late: the machine is too busy to compare");
        }
        if (kept != null) {
            Files.createDirectories(from);
            report.write(kept);
        }
        out.flush();
        return report.json();
    }

    private static Seen emulated(Day day, long seed) throws IOException {
        Emulator.Run run = Emulator.play(day, seed);
        Judgement judged = Judgement.of(run.records());
        double all = Math.max(1, judged.tally().requests());
        return new Seen(
                judged.tally().plays() / all,
                judged.tally().refused() / all,
                judged.tally().failed() / all,
                run.figures().delivered(),
                run.figures().setUpMs(0.5));
    }

    private static void print(PrintWriter out, Path file, String seed, String how, Seen seen) {
        out.printf(
                Locale.ROOT,
                "%-24s %5s %-9s %7.3f %8.3f %7.3f %10.3f %8.1f%n",
                file.getFileName().toString().replace(".jsonnet", ""),
                seed,
                how,
                seen.plays(),
                seen.refused(),
                seen.failed(),
                seen.delivered(),
                seen.setUpMs());
        out.flush();
    }
}
