package spanrill.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/** Plays many trials, a few at a time, and sums them up. */
public final class SoakRunner {
    private final NodeLaunchCommand command;
    private final Path folder;
    private final Consumer<String> out;

    /** Trials of nodes that are started by a command; each leaves its logs in a folder of its own. */
    public SoakRunner(NodeLaunchCommand command, Path folder, Consumer<String> out) {
        this.command = command;
        this.folder = folder;
        this.out = out;
    }

    /**
     * Plays trials.
     *
     * @param atOnce so many side by side
     */
    public List<TrialResult> run(List<Trial> trials, int atOnce) throws IOException, InterruptedException {
        ExecutorService workers = Executors.newFixedThreadPool(atOnce);
        try {
            List<Future<TrialResult>> running = new ArrayList<>();
            for (Trial trial : trials) {
                running.add(workers.submit(() -> playOne(trial)));
            }
            List<TrialResult> results = new ArrayList<>();
            for (Future<TrialResult> each : running) {
                results.add(result(each));
            }
            return results;
        } finally {
            workers.shutdownNow();
        }
    }

    private static TrialResult result(Future<TrialResult> running) throws IOException, InterruptedException {
        try {
            return running.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw new IllegalStateException(e.getCause());
        }
    }

    private TrialResult playOne(Trial trial) throws IOException, InterruptedException {
        TrialResult result = TrialRun.play(
                trial,
                command,
                folder.resolve(
                        "seed-" + trial.seed() + "-" + trial.kind().name().toLowerCase(Locale.ROOT)));
        out.accept(formatResult(result));
        return result;
    }

    /** A line on a trial; below it what was broken, with the timeline of the first request concerned. */
    public static String formatResult(TrialResult result) {
        Trial trial = result.trial();
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "seed %d %s: nodes %d, longest deadline %.0f ms, requests %d, faults %d, lag %.0f ms: %s",
                trial.seed(),
                trial.kind(),
                trial.nodes(),
                trial.longestDeadlineMs(),
                result.count(EventKind.CLIENT_SENT),
                trial.faults().size(),
                result.maxLagMs(),
                result.voidReason().isEmpty()
                        ? result.violations().isEmpty()
                                ? "passed"
                                : result.violations().size() + " broken"
                        : "VOID, " + result.voidReason()));
        int shown = 0;
        for (Violation violation : result.violations()) {
            if (++shown > 8) {
                text.append("\n    ... ").append(result.violations().size() - 8).append(" more");
                break;
            }
            text.append("\n    ").append(violation.line());
        }
        result.violations().stream().filter(v -> v.session() != 0).findFirst().ifPresent(violation -> {
            for (SoakEvent event : result.timeline(violation.session())) {
                text.append("\n        ").append(event.line());
            }
        });
        return text.toString();
    }

    /**
     * Takes faults out of a failed trial while it still breaks the same rule, one at a time, from the last.
     *
     * @return the smallest trial found that still fails
     */
    public Trial shrink(TrialResult failed) throws IOException, InterruptedException {
        Rule rule = failed.violations().get(0).rule();
        Trial smallest = failed.trial();
        for (int i = smallest.faults().size() - 1; i >= 0; i--) {
            List<Trial.Fault> fewer = new ArrayList<>(smallest.faults());
            fewer.remove(i);
            TrialResult result = playOne(smallest.withFaults(fewer));
            if (result.violations().stream().anyMatch(v -> v.rule() == rule)) {
                smallest = result.trial();
            }
        }
        return smallest;
    }

    /** A table by kind of trial. */
    public static String summaryTable(List<TrialResult> results) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%-10s %6s %9s %7s %7s %6s %5s  %s%n",
                "kind",
                "trials",
                "requests",
                "faults",
                "passed",
                "failed",
                "void",
                "broken rules"));
        for (TrialKind kind : TrialKind.values()) {
            List<TrialResult> of =
                    results.stream().filter(r -> r.trial().kind() == kind).toList();
            if (!of.isEmpty()) {
                text.append(row(kind.name().toLowerCase(Locale.ROOT), of));
            }
        }
        return text.append(row("all", results)).toString();
    }

    private static String row(String name, List<TrialResult> of) {
        long voids = of.stream().filter(r -> !r.voidReason().isEmpty()).count();
        long passed = of.stream().filter(TrialResult::passed).count();
        StringBuilder rules = new StringBuilder();
        for (Rule rule : Rule.values()) {
            long broken = of.stream()
                    .flatMap(r -> r.violations().stream())
                    .filter(v -> v.rule() == rule)
                    .count();
            if (broken > 0) {
                rules.append(rule).append(' ').append(broken).append(' ');
            }
        }
        return String.format(
                Locale.ROOT,
                "%-10s %6d %9d %7d %7d %6d %5d  %s%n",
                name,
                of.size(),
                of.stream().mapToLong(r -> r.count(EventKind.CLIENT_SENT)).sum(),
                of.stream().mapToInt(r -> r.trial().faults().size()).sum(),
                passed,
                of.size() - voids - passed,
                voids,
                rules.toString().trim());
    }
}
