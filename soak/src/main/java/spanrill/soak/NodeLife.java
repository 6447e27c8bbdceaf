package spanrill.soak;

import java.util.ArrayList;
import java.util.List;

/** One process of a node, from its start to its end; times in ms of the trial, infinite where there is none. */
final class NodeLife {
    private final int node;
    private final double startedAt;
    private double readyAt = Double.POSITIVE_INFINITY;
    private double termAt = Double.POSITIVE_INFINITY;
    private double killAt = Double.POSITIVE_INFINITY;
    private double exitAt = Double.POSITIVE_INFINITY;
    private int exitCode;

    private NodeLife(int node, double startedAt) {
        this.node = node;
        this.startedAt = startedAt;
    }

    /** The lives of all nodes, in order of their starts. */
    static List<NodeLife> of(List<SoakEvent> events) {
        List<NodeLife> lives = new ArrayList<>();
        for (SoakEvent event : events) {
            if (event.kind() == EventKind.NODE_STARTED) {
                lives.add(new NodeLife(event.node(), event.ms()));
            } else {
                lives.stream()
                        .filter(life -> life.node == event.node() && life.exitAt == Double.POSITIVE_INFINITY)
                        .reduce((a, b) -> b)
                        .ifPresent(life -> life.take(event));
            }
        }
        return lives;
    }

    private void take(SoakEvent event) {
        switch (event.kind()) {
            case NODE_READY -> readyAt = event.ms();
            case NODE_TERM -> termAt = event.ms();
            case NODE_KILL -> killAt = event.ms();
            case NODE_EXIT -> {
                exitAt = event.ms();
                exitCode = event.code();
            }
            default -> {}
        }
    }

    int node() {
        return node;
    }

    double startedAt() {
        return startedAt;
    }

    double readyAt() {
        return readyAt;
    }

    double termAt() {
        return termAt;
    }

    double killAt() {
        return killAt;
    }

    double exitAt() {
        return exitAt;
    }

    int exitCode() {
        return exitCode;
    }

    boolean covers(double ms) {
        return ms >= startedAt && ms <= exitAt;
    }

    /** True when it was killed without having been asked to stop before. */
    boolean killedOutright() {
        return killAt < Double.POSITIVE_INFINITY && termAt == Double.POSITIVE_INFINITY;
    }
}
