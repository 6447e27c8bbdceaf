package spanrill.decisions;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Releases of established sessions that viewers have not acknowledged yet. Unacknowledged releases are
 * retransmitted until their lifetime ends, because the connection that carried one may have been closing, or may not
 * lead to the session's viewers at all: first at a short interval, then at a long one.
 *
 * @param <T> how a session ended
 * @param <R> a route to viewers, compared by identity
 */
public final class PendingReleases<T, R> {
    /**
     * Limits of the retransmissions.
     *
     * @param lifetimeMs time after which a release is dropped
     * @param retransmitDelayMs time without an acknowledgement after which a release is sent again
     * @param maxFrequentTransmissions number of transmissions after which the long delay applies
     * @param longRetransmitDelayMs the long delay
     * @param capacity maximum number of pending releases; when it is reached, the oldest one is dropped
     */
    public record Limits(
            double lifetimeMs,
            double retransmitDelayMs,
            int maxFrequentTransmissions,
            double longRetransmitDelayMs,
            int capacity) {}

    private final Limits limits;
    private final Map<Long, PendingRelease<T, R>> releases = new LinkedHashMap<>();

    /** A release that is not acknowledged yet. */
    public static final class PendingRelease<T, R> {
        private final long session;
        private final T end;
        private final double createdAt;
        private final Set<R> triedRoutes = Collections.newSetFromMap(new IdentityHashMap<>());
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

        /**
         * Chooses the route of the next transmission: the first one that has not carried this release. When all of
         * them have, the choice starts again with the first one.
         *
         * @param routes the usable routes in the order of preference, at least one
         */
        public R nextRoute(List<R> routes) {
            for (R route : routes) {
                if (!triedRoutes.contains(route)) {
                    return route;
                }
            }
            triedRoutes.clear();
            return routes.get(0);
        }
    }

    /** Creates an empty collection. */
    public PendingReleases(Limits limits) {
        this.limits = limits;
    }

    /** Adds the release of an established session that has ended. */
    public PendingRelease<T, R> add(double now, long session, T end) {
        if (releases.size() >= limits.capacity()) {
            releases.remove(releases.keySet().iterator().next());
        }
        PendingRelease<T, R> release = new PendingRelease<>(session, end, now);
        releases.put(session, release);
        return release;
    }

    /** Removes an acknowledged release. Returns false when none was pending for the session. */
    public boolean acknowledge(long session) {
        return releases.remove(session) != null;
    }

    /** Records a transmission on a route. */
    public void markSent(double now, PendingRelease<T, R> release, R route) {
        release.sentAt = now;
        release.transmissions++;
        release.triedRoutes.add(route);
    }

    /** Drops the releases whose lifetime has ended. */
    public void dropExpired(double now) {
        releases.values().removeIf(release -> now - release.createdAt > limits.lifetimeMs());
    }

    /** Returns the releases to send now. */
    public List<PendingRelease<T, R>> due(double now) {
        List<PendingRelease<T, R>> due = new ArrayList<>();
        for (PendingRelease<T, R> release : releases.values()) {
            if (now - release.sentAt >= retransmitDelayMs(release)) {
                due.add(release);
            }
        }
        return due;
    }

    private double retransmitDelayMs(PendingRelease<T, R> release) {
        return isFrequent(release) ? limits.retransmitDelayMs() : limits.longRetransmitDelayMs();
    }

    private boolean isFrequent(PendingRelease<T, R> release) {
        return release.transmissions < limits.maxFrequentTransmissions();
    }

    /**
     * True while an acknowledgement can be expected soon: a release that was sent as often as the short interval allows
     * probably reaches nobody.
     */
    public boolean isAwaitingAcknowledgement() {
        return releases.values().stream().anyMatch(this::isFrequent);
    }

    /** True when no release is pending. */
    public boolean isEmpty() {
        return releases.isEmpty();
    }
}
