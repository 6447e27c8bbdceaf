package spanrill.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spanrill.day.Day;
import spanrill.emulator.Emulator;
import spanrill.results.KendallTau;
import spanrill.session.SessionCore;
import spanrill.settings.Settings;

/** Holds the emulator against the bench: past texts of the module, ranked by both. */
@Command(
        name = "versions",
        mixinStandardHelpOptions = true,
        description = {
            "Plays past texts of the module, whose scores and sources are in the bench's journal, on days in virtual",
            "time, and compares how the bench and the emulator rank them (Kendall's tau with its interval). Exit",
            "code 3 when tau is below 0.6."
        })
final class VersionsCommand implements Callable<Integer> {
    private static final double WANTED = 0.6;
    private static final int LEAST = 10;

    @Parameters(paramLabel = "DAY", arity = "1..*", description = "day files (Jsonnet)")
    private List<Path> files;

    @Option(
            names = "--journal",
            paramLabel = "DIR",
            defaultValue = "journal",
            description = "the bench's journal (default: ${DEFAULT-VALUE})")
    private Path journal;

    @Option(
            names = "--sites",
            paramLabel = "TEXT",
            defaultValue = "-later",
            description = "scores of all deployments with this in their names are meant")
    private String sites;

    @Option(
            names = "--seeds",
            split = ",",
            defaultValue = "1",
            description = "seeds of each day (default: ${DEFAULT-VALUE})")
    private List<Long> seeds;

    @Spec
    private CommandSpec spec;

    private record Scored(String text, double bench) {}

    private record Played(Scored version, double service, String fault) {}

    @Override
    public Integer call() throws Exception {
        List<Scored> scored = scored();
        if (scored.size() < LEAST) {
            throw new BadInput(journal + ": has " + scored.size()
                    + " texts with scores on all deployments of \"" + sites
                    + "\", " + LEAST + " are needed");
        }
        List<Day> days = new ArrayList<>();
        for (Path file : files) {
            days.add(Settings.read(file, Day.class));
        }
        List<Played> played =
                scored.parallelStream().map(version -> play(version, days)).toList();
        PrintWriter out = spec.commandLine().getOut();
        played.stream()
                .sorted(Comparator.comparingDouble((Played p) -> p.version().bench())
                        .reversed())
                .forEach(p -> out.printf(
                        Locale.ROOT,
                        "  %-16s bench %.3f  %s%n",
                        p.version().text(),
                        p.version().bench(),
                        p.fault() == null
                                ? String.format(Locale.ROOT, "emulated %.3f", p.service())
                                : "not played: " + p.fault()));
        List<Played> both = played.stream().filter(p -> p.fault() == null).toList();
        if (both.size() < LEAST) {
            throw new BadInput("only " + both.size() + " of " + played.size() + " texts could be played");
        }
        KendallTau kendall = KendallTau.of(
                both.stream().mapToDouble(p -> p.version().bench()).toArray(),
                both.stream().mapToDouble(Played::service).toArray(),
                1);
        out.printf(
                Locale.ROOT,
                "%d texts: tau %.2f, 95%% from %.2f to %.2f%n",
                both.size(),
                kendall.tau(),
                kendall.low(),
                kendall.high());
        out.println(kendall.tau() >= WANTED ? "agrees" : "DIFFERS");
        out.flush();
        return kendall.tau() >= WANTED ? Exit.HELD : Exit.RULE_BROKEN;
    }

    private Played play(Scored version, List<Day> days) {
        try {
            SessionCore.ModuleFactory policy =
                    ModuleSource.compile(journal.resolve("blobs").resolve(version.text() + ".txt"));
            double sum = 0;
            for (Day day : days) {
                for (long seed : seeds) {
                    sum += Emulator.play(day, seed, new Emulator.Options(null, policy, 2000, false))
                            .worth()
                            .service();
                }
            }
            return new Played(version, sum / days.size() / seeds.size(), null);
        } catch (BadInput e) {
            return new Played(version, Double.NaN, e.getMessage());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Texts with a score on every deployment meant: the last one of each, the mean over them. */
    private List<Scored> scored() throws BadInput {
        Map<String, Map<String, Double>> byText = new TreeMap<>();
        ObjectMapper json = new ObjectMapper();
        try (Stream<Path> all = Files.list(journal)) {
            for (Path file :
                    all.filter(f -> f.toString().endsWith(".json")).sorted().toList()) {
                JsonNode run = json.readTree(file.toFile());
                if (run.path("cmd").asText().equals("score")
                        && run.path("ok").asBoolean()
                        && run.path("score").isNumber()
                        && run.path("site").asText().contains(sites)) {
                    String text = run.path("policy").path(0).path("sha256").asText();
                    byText.computeIfAbsent(text.substring(0, Math.min(16, text.length())), k -> new HashMap<>())
                            .put(run.path("site").asText(), run.path("score").asDouble());
                }
            }
        } catch (IOException e) {
            throw new BadInput(journal + ": can't be read as a journal: " + e.getMessage());
        }
        int deployments = byText.values().stream().mapToInt(Map::size).max().orElse(0);
        List<Scored> scored = new ArrayList<>();
        byText.forEach((text, scores) -> {
            if (scores.size() == deployments) {
                scored.add(new Scored(
                        text,
                        scores.values().stream().mapToDouble(s -> s).average().orElse(0)));
            }
        });
        return scored;
    }
}
