package spanrill.node.session;

import java.util.ArrayDeque;
import java.util.Iterator;

/** Releases that no connection could take yet; each is kept for a stated time, and so many at most. */
final class OwedReleases {
    private final double keepMs;
    private final int most;
    private final ArrayDeque<Owed> owed = new ArrayDeque<>();

    private record Owed(long session, End end, double at) { }

    OwedReleases(double keepMs, int most) {
        this.keepMs = keepMs;
        this.most = most;
    }

    void add(double now, long session, End end) {
        if (owed.size() >= most) {
            owed.poll();
        }
        owed.add(new Owed(session, end, now));
    }

    /** Sends all that is owed and not too old. */
    void send(double now, ViewerLink link) {
        for (Iterator<Owed> it = owed.iterator(); it.hasNext() && link.open();) {
            Owed next = it.next();
            it.remove();
            if (now - next.at() <= keepMs) {
                link.release(next.session(), next.end(), 0);
            }
        }
    }

    int size() {
        return owed.size();
    }
}
