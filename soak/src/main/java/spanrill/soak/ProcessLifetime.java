package spanrill.soak;

import java.util.ArrayList;
import java.util.List;

/** Lifetime of one process of a node. Times are in ms since the trial began, infinite if the event did not happen. */
final class ProcessLifetime {
    private final int node;
    private final double startedAtMs;
    private double readyAtMs = Double.POSITIVE_INFINITY;
    private double termAtMs = Double.POSITIVE_INFINITY;
    private double killAtMs = Double.POSITIVE_INFINITY;
    private double exitAtMs = Double.POSITIVE_INFINITY;
    private int exitCode;

    private ProcessLifetime(int node, double startedAtMs) {
        this.node = node;
        this.startedAtMs = startedAtMs;
    }

    /** Returns the lifetimes of the processes of all nodes in order of their starts. */
    static List<ProcessLifetime> of(List<SoakEvent> events) {
        List<ProcessLifetime> lifetimes = new ArrayList<>();
        for (SoakEvent event : events) {
            if (event.kind() == EventKind.NODE_STARTED) {
                lifetimes.add(new ProcessLifetime(event.node(), event.atMs()));
            } else {
                lifetimes.stream()
                        .filter(lifetime ->
                                lifetime.node == event.node() && lifetime.exitAtMs == Double.POSITIVE_INFINITY)
                        .reduce((a, b) -> b)
                        .ifPresent(lifetime -> lifetime.add(event));
            }
        }
        return lifetimes;
    }

    private void add(SoakEvent event) {
        switch (event.kind()) {
            case NODE_READY -> readyAtMs = event.atMs();
            case NODE_TERM -> termAtMs = event.atMs();
            case NODE_KILL -> killAtMs = event.atMs();
            case NODE_EXIT -> {
                exitAtMs = event.atMs();
                exitCode = event.code();
            }
            default -> {}
        }
    }

    int node() {
        return node;
    }

    double startedAtMs() {
        return startedAtMs;
    }

    double readyAtMs() {
        return readyAtMs;
    }

    double termAtMs() {
        return termAtMs;
    }

    double killAtMs() {
        return killAtMs;
    }

    double exitAtMs() {
        return exitAtMs;
    }

    int exitCode() {
        return exitCode;
    }

    boolean isRunningAt(double ms) {
        return ms >= startedAtMs && ms <= exitAtMs;
    }

    /** Returns true if the process was killed without SIGTERM before. */
    boolean killedWithoutTerm() {
        return killAtMs < Double.POSITIVE_INFINITY && termAtMs == Double.POSITIVE_INFINITY;
    }
}
