package spanrill.decisions;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Releases of established sessions that viewers have not acknowledged yet. Unacknowledged releases are
 * retransmitted, because the connection that carried one may have been closing, or may not lead to the viewers
 * at all. Their number, lifetime and transmissions are limited.
 */
public final class PendingReleases<T> {
    private final double lifetimeMs;
    private final double retransmitDelayMs;
    private final int capacity;
    private final int maxTransmissions;
    private final Map<Long, PendingRelease<T>> releases = new LinkedHashMap<>();

    /** A release that is not acknowledged yet. */
    public static final class PendingRelease<T> {
        private final long session;
        private final T end;
        private final double createdAt;
        private double sentAt = Double.NEGATIVE_INFINITY;
        private int transmissions;

        private PendingRelease(long session, T end, double createdAt) {
            this.session = session;
            this.end = end;
            this.createdAt = createdAt;
        }

        /** Id of the session. */
        public long session() {
            return session;
        }

        /** How the session ended. */
        public T end() {
            return end;
        }
    }

    /**
     * Creates an empty collection.
     *
     * @param lifetimeMs a release is dropped after this time
     * @param retransmitDelayMs time without an acknowledgement after which a release is sent again
     * @param maxTransmissions maximum number of transmissions of one release
     * @param capacity maximum number of pending releases; when it is reached, the oldest one is dropped
     */
    public PendingReleases(double lifetimeMs, double retransmitDelayMs, int maxTransmissions, int capacity) {
        this.lifetimeMs = lifetimeMs;
        this.retransmitDelayMs = retransmitDelayMs;
        this.maxTransmissions = maxTransmissions;
        this.capacity = capacity;
    }

    /** Adds the release of an established session that has ended. */
    public PendingRelease<T> add(double now, long session, T end) {
        if (releases.size() >= capacity) {
            releases.remove(releases.keySet().iterator().next());
        }
        PendingRelease<T> release = new PendingRelease<>(session, end, now);
        releases.put(session, release);
        return release;
    }

    /** Removes an acknowledged release. Returns false when none was pending for the session. */
    public boolean acknowledge(long session) {
        return releases.remove(session) != null;
    }

    /** Records a transmission. */
    public void markSent(double now, PendingRelease<T> release) {
        release.sentAt = now;
        release.transmissions++;
    }

    /** Returns the releases to send now, and drops those that are too old or were sent often enough. */
    public List<PendingRelease<T>> due(double now) {
        List<PendingRelease<T>> due = new ArrayList<>();
        for (Iterator<PendingRelease<T>> iterator = releases.values().iterator(); iterator.hasNext(); ) {
            PendingRelease<T> release = iterator.next();
            if (now - release.createdAt > lifetimeMs
                    || (release.transmissions >= maxTransmissions && now - release.sentAt >= retransmitDelayMs)) {
                iterator.remove();
            } else if (release.transmissions < maxTransmissions && now - release.sentAt >= retransmitDelayMs) {
                due.add(release);
            }
        }
        return due;
    }

    /** Number of pending releases. */
    public int size() {
        return releases.size();
    }

    /** True when no release is pending. */
    public boolean isEmpty() {
        return releases.isEmpty();
    }
}
