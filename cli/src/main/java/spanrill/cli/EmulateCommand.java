package spanrill.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spanrill.day.Day;
import spanrill.emulator.Emulator;
import spanrill.emulator.Figures;
import spanrill.emulator.Policies;
import spanrill.emulator.Worth;
import spanrill.settings.Settings;

/** Plays a day in virtual time and judges it. */
@Command(
        name = "emulate",
        mixinStandardHelpOptions = true,
        description = {
            "Plays a day in virtual time: the core and module that serve viewers, once for each front, among",
            "emulated boxes, links, lists and viewers. Sizes that sockets don't reach, in seconds; the same day and",
            "seed give the same records. Judged as 'rehearse' is, with the same report and exit codes."
        })
final class EmulateCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DAY", description = "a day file (Jsonnet)")
    private Path file;

    @Option(names = "--seed", description = "another seed than the day's")
    private Long seed;

    @Option(names = "--fronts", description = "another number of fronts than the day's")
    private Integer fronts;

    @Option(names = "--report", paramLabel = "FILE.json", description = "write the report there too")
    private Path report;

    @Option(names = "--taps", paramLabel = "DIR", description = "keep the records there")
    private Path taps;

    @Option(
            names = "--policy",
            defaultValue = "module",
            description = {
                "what decides in the fronts (default: ${DEFAULT-VALUE}); or a textbook rule: random, fewest,",
                "two-drawn or hash, with :top, :lowest or :throughput for the rungs"
            })
    private String policy;

    @Option(
            names = "--module",
            paramLabel = "Control.java",
            description = "another text of the module, compiled and played in place of the one built in")
    private Path module;

    @Option(names = "--bound", description = "also work out the most that any policy could earn")
    private boolean bound;

    @Option(
            names = "--hindrances",
            description = {
                "also play the day without late reports, late lists, many fronts, ..., one at a time; needs --bound"
            })
    private boolean hindrances;

    @Option(
            names = "--look",
            paramLabel = "S",
            defaultValue = "1",
            description = "seconds between two looks at the worth earned (default: ${DEFAULT-VALUE})")
    private double lookS;

    @Spec
    private CommandSpec spec;

    private Hindrances found;

    @Override
    public Integer call() throws Exception {
        Day day = Settings.read(file, Day.class);
        if (fronts != null) {
            if (fronts < 1 || fronts > 1000) {
                throw new BadInput("--fronts must be from 1 to 1000");
            }
            day = day.withFronts(fronts);
        }
        long by = seed == null ? day.seed() : seed;
        if (taps != null) {
            Files.createDirectories(taps);
        }
        long begin = System.nanoTime();
        Emulator.Run run = Emulator.play(day, by, options(taps == null ? null : taps.resolve("tap.jsonl")));
        double seconds = (System.nanoTime() - begin) / 1e9;
        Judgement judged = Judgement.of(run.records());
        if (hindrances) {
            found = Hindrances.of(day, by, options(null), run.worth());
        }
        PrintWriter out = spec.commandLine().getOut();
        print(out, by, day, run, judged, seconds);
        if (report != null) {
            write(report, json(by, run, judged, seconds));
        }
        return judged.held() ? Exit.HELD : Exit.RULE_BROKEN;
    }

    private Emulator.Options options(Path file) throws BadInput {
        if (!(lookS > 0) || lookS > 3600 || (hindrances && !bound)) {
            throw new BadInput("--look must be above 0 and at most 3600; --hindrances needs --bound");
        }
        try {
            return new Emulator.Options(
                    file, module == null ? Policies.of(policy) : ModuleSource.compile(module), lookS * 1000, bound);
        } catch (IllegalArgumentException e) {
            throw new BadInput("--policy: " + e.getMessage());
        }
    }

    private void print(PrintWriter out, long by, Day day, Emulator.Run run, Judgement judged, double seconds) {
        Figures figures = run.figures();
        out.printf(Locale.ROOT, "%n%s, seed %d, %d fronts, emulated%n", file, by, day.fronts());
        judged.printRequests(out);
        judged.printViewers(out);
        out.printf(
                Locale.ROOT,
                "  sessions finished %d, broken %d; delivered %.3f of the time, mean rung %.2f%n",
                figures.finished(),
                judged.broken(),
                figures.delivered(),
                figures.meanRung());
        out.printf(
                Locale.ROOT,
                "  set-up p50 %.0f ms, p99 %.0f ms; %.1f s for %.0f s of day, %.0f events a " + "second%n",
                figures.setUpMs(0.5),
                figures.setUpMs(0.99),
                seconds,
                (day.lengthMs() + day.tailMs()) / 1000,
                run.events() / seconds);
        Worth worth = run.worth();
        out.printf(
                Locale.ROOT,
                "  service %.3f of what is asked (%d looks)%s%n",
                worth.service(),
                worth.looks(),
                bound ? String.format(Locale.ROOT, "; no policy could be above %.3f", worth.bound()) : "");
        if (found != null) {
            found.print(out);
        }
        Report.rulesTable(out, judged.verdicts());
        judged.whyNotHeld().forEach(reason -> out.println("  NOT HELD: " + reason));
        out.flush();
    }

    private ObjectNode json(long by, Emulator.Run run, Judgement judged, double seconds) {
        Figures figures = run.figures();
        ObjectNode root = new ObjectMapper()
                .createObjectNode()
                .put("day", file.toString())
                .put("seed", by)
                .put("emulated", true);
        judged.putInto(root);
        root.putObject("setupMs").put("p50", figures.setUpMs(0.5)).put("p99", figures.setUpMs(0.99));
        root.put("delivered", figures.delivered())
                .put("sessionsFinished", figures.finished())
                .put("sessionsBroken", judged.broken())
                .put("segments", figures.segments())
                .put("bytes", figures.bytes())
                .put("meanRung", figures.meanRung())
                .put("spends", figures.spends())
                .put("stalls", figures.stalls())
                .put("returns", figures.returns())
                .put("seconds", seconds)
                .put("events", run.events());
        root.put("policy", policy).put("service", run.worth().service());
        if (bound) {
            root.putObject("bound")
                    .put("asked", run.worth().asked())
                    .put("most", run.worth().most())
                    .put("ours", run.worth().earned());
        }
        if (found != null) {
            found.putInto(root);
        }
        return root;
    }

    private static void write(Path to, ObjectNode root) throws IOException {
        Files.writeString(
                to, new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(root) + "\n");
    }
}
