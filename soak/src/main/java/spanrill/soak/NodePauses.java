package spanrill.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The times during which node processes were stopped by SIGSTOP. */
final class NodePauses {
    /** Time from the signal until the process has noticed it and acted, including the peers' own delay, ms. */
    private static final double RESUME_TOLERANCE_MS = 100;

    private record Pause(int node, double fromMs, double toMs) {}

    private final List<Pause> pauses = new ArrayList<>();

    NodePauses(List<SoakEvent> events) {
        Map<Integer, Double> stoppedAt = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.kind() == EventKind.NODE_STOPPED) {
                stoppedAt.putIfAbsent(event.node(), event.atMs());
            } else if (event.kind() == EventKind.NODE_CONTINUED && stoppedAt.containsKey(event.node())) {
                pauses.add(new Pause(event.node(), stoppedAt.remove(event.node()), event.atMs()));
            }
        }
    }

    /**
     * Returns the time by which a node has to have acted that must act by {@code dueMs}: a process that is stopped at
     * that time can act only once it is continued.
     */
    double extendDue(int node, double dueMs) {
        double extendedMs = dueMs;
        for (Pause pause : pauses) {
            if (pause.node == node && pause.fromMs <= extendedMs && pause.toMs + RESUME_TOLERANCE_MS > extendedMs) {
                extendedMs = pause.toMs + RESUME_TOLERANCE_MS;
            }
        }
        return extendedMs;
    }
}
