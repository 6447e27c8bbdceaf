package spanrill.node.session;

import java.util.HashSet;
import java.util.Set;
import spanrill.decisions.ExpiringMap;

/**
 * Sessions that the module has moved: their clients send new set-ups. The platform ends a moved session at its server;
 * until the server reports the end, the session counts as moving.
 */
final class MovedSessions {
    // For this long after a move, a set-up of the viewer counts as its return from the move.
    private static final double RETURN_WINDOW_MS = 30_000;
    private static final int MAX_RETURNING = 8192;

    private final Set<Long> moving = new HashSet<>();
    private final ExpiringMap<Boolean> returning = new ExpiringMap<>(RETURN_WINDOW_MS, MAX_RETURNING);

    /** Adds a session that moves from {@code now} on, in ms on the scheduler's clock. */
    void add(NodeSession session, double now) {
        moving.add(session.id());
        returning.put(now, session.viewer(), true);
    }

    /** Removes a session that has ended at its server; true when it was moving. */
    boolean remove(long id) {
        return moving.remove(id);
    }

    /** Returns true once for each moved viewer that sends a new set-up in time. */
    boolean takeReturning(String viewer, double now) {
        return returning.remove(now, viewer) != null;
    }

    /** Number of moved sessions whose end the server has not reported and whose release was not sent. */
    int size() {
        return moving.size();
    }
}
