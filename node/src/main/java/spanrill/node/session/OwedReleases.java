package spanrill.node.session;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Releases of sessions that stood, until their viewers have heard them. One that was not heard is sent
 * again: the connection that took it may have been ending, or may not be a viewers' at all. Bounded in
 * number, time and tries.
 */
final class OwedReleases {
    private final double keepMs;
    private final double againMs;
    private final int most;
    private final int tries;
    private final Map<Long, Owed> owed = new LinkedHashMap<>();

    /** One release that is owed. */
    static final class Owed {
        private final long session;
        private final End end;
        private final double since;
        private double sentAt = Double.NEGATIVE_INFINITY;
        private int sent;

        private Owed(long session, End end, double since) {
            this.session = session;
            this.end = end;
            this.since = since;
        }

        long session() {
            return session;
        }

        End end() {
            return end;
        }
    }

    /**
     * Nothing owed yet.
     *
     * @param keepMs each is kept for so long
     * @param againMs and sent again when it was not heard for so long
     * @param tries so many times in all
     * @param most so many at once; the oldest goes first
     */
    OwedReleases(double keepMs, double againMs, int tries, int most) {
        this.keepMs = keepMs;
        this.againMs = againMs;
        this.tries = tries;
        this.most = most;
    }

    Owed add(double now, long session, End end) {
        if (owed.size() >= most) {
            owed.remove(owed.keySet().iterator().next());
        }
        Owed next = new Owed(session, end, now);
        owed.put(session, next);
        return next;
    }

    boolean heard(long session) {
        return owed.remove(session) != null;
    }

    /** It goes out now. */
    void sent(double now, Owed one) {
        one.sentAt = now;
        one.sent++;
    }

    /** Those that are to go out now; what is too old or was sent often enough is let go. */
    List<Owed> due(double now) {
        List<Owed> due = new ArrayList<>();
        for (Iterator<Owed> it = owed.values().iterator(); it.hasNext();) {
            Owed one = it.next();
            if (now - one.since > keepMs || (one.sent >= tries && now - one.sentAt >= againMs)) {
                it.remove();
            } else if (one.sent < tries && now - one.sentAt >= againMs) {
                due.add(one);
            }
        }
        return due;
    }

    boolean isEmpty() {
        return owed.isEmpty();
    }
}
