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

/** Runs trials, several in parallel, and formats their results. */
public final class SoakRunner {
    private final NodeLaunchCommand command;
    private final Path directory;
    private final Consumer<String> output;

    /** Creates a runner. Each trial writes its logs to a subdirectory of its own; results are printed as lines. */
    public SoakRunner(NodeLaunchCommand command, Path directory, Consumer<String> output) {
        this.command = command;
        this.directory = directory;
        this.output = output;
    }

    /**
     * Runs trials.
     *
     * @param parallelTrials maximum number of trials that run at the same time
     * @return the results in the order of the trials
     */
    public List<TrialResult> run(List<Trial> trials, int parallelTrials) throws IOException, InterruptedException {
        ExecutorService executor = Executors.newFixedThreadPool(parallelTrials);
        try {
            List<Future<TrialResult>> futures = new ArrayList<>();
            for (Trial trial : trials) {
                futures.add(executor.submit(() -> runTrial(trial)));
            }
            List<TrialResult> results = new ArrayList<>();
            for (Future<TrialResult> future : futures) {
                results.add(await(future));
            }
            return results;
        } finally {
            executor.shutdownNow();
        }
    }

    private static TrialResult await(Future<TrialResult> future) throws IOException, InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw new IllegalStateException(e.getCause());
        }
    }

    private TrialResult runTrial(Trial trial) throws IOException, InterruptedException {
        TrialResult result = TrialRun.run(
                trial,
                command,
                directory.resolve(
                        "seed-" + trial.seed() + "-" + trial.kind().name().toLowerCase(Locale.ROOT)));
        output.accept(formatResult(result));
        return result;
    }

    /** Formats a result: a summary line, up to eight violations and the events of the first request concerned. */
    public static String formatResult(TrialResult result) {
        Trial trial = result.trial();
        StringBuilder report = new StringBuilder(String.format(
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
                report.append("\n    ... ")
                        .append(result.violations().size() - 8)
                        .append(" more");
                break;
            }
            report.append("\n    ").append(violation.format());
        }
        result.violations().stream().filter(v -> v.session() != 0).findFirst().ifPresent(violation -> {
            for (SoakEvent event : result.timeline(violation.session())) {
                report.append("\n        ").append(event.format());
            }
        });
        return report.toString();
    }

    /**
     * Removes faults from a failed trial one at a time, from the last to the first, and leaves out those without which
     * the trial still breaks the same rule.
     *
     * @return the trial with the fewest faults found that still fails
     */
    public Trial shrink(TrialResult failed) throws IOException, InterruptedException {
        Rule rule = failed.violations().get(0).rule();
        Trial smallest = failed.trial();
        for (int i = smallest.faults().size() - 1; i >= 0; i--) {
            List<Trial.Fault> fewer = new ArrayList<>(smallest.faults());
            fewer.remove(i);
            TrialResult result = runTrial(smallest.withFaults(fewer));
            if (result.violations().stream().anyMatch(v -> v.rule() == rule)) {
                smallest = result.trial();
            }
        }
        return smallest;
    }

    /** Formats a table with a row for each kind of trial and a total. */
    public static String summaryTable(List<TrialResult> results) {
        StringBuilder report = new StringBuilder(String.format(
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
            List<TrialResult> subset =
                    results.stream().filter(r -> r.trial().kind() == kind).toList();
            if (!subset.isEmpty()) {
                report.append(row(kind.name().toLowerCase(Locale.ROOT), subset));
            }
        }
        return report.append(row("all", results)).toString();
    }

    private static String row(String name, List<TrialResult> subset) {
        long voidCount = subset.stream().filter(r -> !r.voidReason().isEmpty()).count();
        long passedCount = subset.stream().filter(TrialResult::passed).count();
        StringBuilder rules = new StringBuilder();
        for (Rule rule : Rule.values()) {
            long broken = subset.stream()
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
                subset.size(),
                subset.stream().mapToLong(r -> r.count(EventKind.CLIENT_SENT)).sum(),
                subset.stream().mapToInt(r -> r.trial().faults().size()).sum(),
                passedCount,
                subset.size() - voidCount - passedCount,
                voidCount,
                rules.toString().trim());
    }
}
