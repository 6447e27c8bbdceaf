package spanrill.decisions;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Releases that were written to a connection of which nobody knows yet whether they arrived. A connection
 * that ends takes with it what was written last; what the peer has spoken of, or what was written long enough
 * before the end, has arrived. Bounded; the oldest goes first.
 */
public final class UnacknowledgedReleases {
    private final double arrivedMs;
    private final int most;
    private final Map<Long, Double> said = new LinkedHashMap<>();

    /**
     * Nothing said yet.
     *
     * @param arrivedMs what was written so long before the end of its connection has arrived
     * @param most so many are kept
     */
    public UnacknowledgedReleases(double arrivedMs, int most) {
        this.arrivedMs = arrivedMs;
        this.most = most;
    }

    /** The release of a session is written now. */
    public void recordWritten(double now, long session) {
        said.remove(session);
        said.put(session, now);
        // Never empties it: what was said just now is young, and one at least is kept.
        Iterator<Double> oldest = said.values().iterator();
        for (double at = oldest.next(); said.size() > most || now - at >= arrivedMs; at = oldest.next()) {
            oldest.remove();
        }
    }

    /** The peer has spoken of the session: it has heard. */
    public void acknowledge(long session) {
        said.remove(session);
    }

    /** The connection ends now: the sessions whose release may be lost, in the order of their writing. */
    public List<Long> takeUnacknowledged(double now) {
        List<Long> lost = new ArrayList<>();
        said.forEach((session, at) -> {
            if (now - at < arrivedMs) {
                lost.add(session);
            }
        });
        said.clear();
        return lost;
    }
}
