package spanrill.node.session;

import java.util.HashSet;
import java.util.Set;
import spanrill.decisions.ExpiringMap;

/**
 * Sessions that the module has moved: their clients come again as new requests. The platform ends a moved
 * session at its server; until the server has said so it counts as moving.
 */
final class MovedSessions {
    // A viewer that was moved counts as coming back from a move for this long.
    private static final double RETURN_MS = 30_000;
    private static final int MOST_RETURNING = 8192;

    private final Set<Long> moving = new HashSet<>();
    private final ExpiringMap<Boolean> returning = new ExpiringMap<>(RETURN_MS, MOST_RETURNING);

    /** A session moves from now on, ms on the scheduler's clock. */
    void add(NodeSession session, double now) {
        moving.add(session.id());
        returning.put(now, session.viewer(), true);
    }

    /** The session is over at its server; true when it was moving. */
    boolean remove(long id) {
        return moving.remove(id);
    }

    /** True, once, when this viewer comes back from a move. */
    boolean returns(String viewer, double now) {
        return returning.remove(now, viewer) != null;
    }

    /** Sessions whose server has yet to say that they are over, or to be told so. */
    int size() {
        return moving.size();
    }
}
