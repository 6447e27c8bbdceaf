package spanrill.decisions;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Releases written to one connection that may not have arrived. When a connection ends, its last output may be
 * lost. A release has arrived when the peer mentions its session, or when enough time passed between the write
 * and the end of the connection. The number of entries is limited; the oldest is dropped first.
 */
public final class UnacknowledgedReleases {
    private final double arrivalMs;
    private final int capacity;
    private final Map<Long, Double> writtenAt = new LinkedHashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param arrivalMs a release written this long before the end of the connection has arrived
     * @param capacity maximum number of entries
     */
    public UnacknowledgedReleases(double arrivalMs, int capacity) {
        this.arrivalMs = arrivalMs;
        this.capacity = capacity;
    }

    /** Records that the release of a session is written now. */
    public void recordWritten(double now, long session) {
        writtenAt.remove(session);
        writtenAt.put(session, now);
        // The loop never empties the map: the entry just added is recent, and the capacity is at least one.
        Iterator<Double> oldestFirst = writtenAt.values().iterator();
        for (double time = oldestFirst.next();
                writtenAt.size() > capacity || now - time >= arrivalMs;
                time = oldestFirst.next()) {
            oldestFirst.remove();
        }
    }

    /** Records that the peer mentioned the session: its release has arrived. */
    public void acknowledge(long session) {
        writtenAt.remove(session);
    }

    /** Removes and returns the sessions whose releases may be lost with the connection, in the order of writing. */
    public List<Long> takeUnacknowledged(double now) {
        List<Long> unacknowledged = new ArrayList<>();
        writtenAt.forEach((session, time) -> {
            if (now - time < arrivalMs) {
                unacknowledged.add(session);
            }
        });
        writtenAt.clear();
        return unacknowledged;
    }
}
