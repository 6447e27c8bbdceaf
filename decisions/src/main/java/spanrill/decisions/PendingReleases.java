package spanrill.decisions;

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
public final class PendingReleases<T> {
    private final double keepMs;
    private final double againMs;
    private final int most;
    private final int tries;
    private final Map<Long, PendingRelease<T>> owed = new LinkedHashMap<>();

    /** One release that is owed. */
    public static final class PendingRelease<T> {
        private final long session;
        private final T end;
        private final double since;
        private double sentAt = Double.NEGATIVE_INFINITY;
        private int sent;

        private PendingRelease(long session, T end, double since) {
            this.session = session;
            this.end = end;
            this.since = since;
        }

        /** The session. */
        public long session() {
            return session;
        }

        /** How it ended. */
        public T end() {
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
    public PendingReleases(double keepMs, double againMs, int tries, int most) {
        this.keepMs = keepMs;
        this.againMs = againMs;
        this.tries = tries;
        this.most = most;
    }

    /** A session that stood is over: its viewer is owed a release. */
    public PendingRelease<T> add(double now, long session, T end) {
        if (owed.size() >= most) {
            owed.remove(owed.keySet().iterator().next());
        }
        PendingRelease<T> next = new PendingRelease<>(session, end, now);
        owed.put(session, next);
        return next;
    }

    /** Its viewer heard it: true when it was owed. */
    public boolean acknowledge(long session) {
        return owed.remove(session) != null;
    }

    /** It goes out now. */
    public void markSent(double now, PendingRelease<T> one) {
        one.sentAt = now;
        one.sent++;
    }

    /** Those that are to go out now; what is too old or was sent often enough is let go. */
    public List<PendingRelease<T>> due(double now) {
        List<PendingRelease<T>> due = new ArrayList<>();
        for (Iterator<PendingRelease<T>> it = owed.values().iterator(); it.hasNext(); ) {
            PendingRelease<T> one = it.next();
            if (now - one.since > keepMs || (one.sent >= tries && now - one.sentAt >= againMs)) {
                it.remove();
            } else if (one.sent < tries && now - one.sentAt >= againMs) {
                due.add(one);
            }
        }
        return due;
    }

    /** How many are owed. */
    public int size() {
        return owed.size();
    }

    /** True when nothing is owed. */
    public boolean isEmpty() {
        return owed.isEmpty();
    }
}
