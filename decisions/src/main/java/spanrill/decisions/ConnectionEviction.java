package spanrill.decisions;

import java.util.List;

/**
 * Chooses which client connection is closed in favour of a new one, and which one carries pending releases whose
 * own connection is closed.
 */
public final class ConnectionEviction {
    /** No connection is suitable. */
    public static final int NONE = -1;

    // A viewer's set-up follows the new connection at once but can be in transit or unread for this long.
    private static final double FIRST_REQUEST_GRACE_MS = 300;

    private ConnectionEviction() {}

    /** Most useful input of a connection so far. */
    public enum Activity {
        /** Nothing useful. */
        NOTHING_USEFUL,
        /** A test, or a set-up that was not served. */
        NOT_SERVED,
        /** A viewer was served on the connection. */
        SERVED
    }

    /**
     * A connection that may be closed.
     *
     * @param openSetUps set-ups open on the connection
     * @param activeSessions established sessions that were set up on the connection; their releases are sent on it
     * @param activity the most useful input so far
     * @param idleMs time since the last useful input, or since the connection was accepted
     */
    public record Candidate(int openSetUps, int activeSessions, Activity activity, double idleMs) {}

    /**
     * Chooses the connection to close in favour of a new one: first connections without a useful request after
     * the grace period, then those with requests that were not served, then served ones without a session, then
     * those still in the grace period; among equals the one idle for longest. Connections with an open set-up or
     * an established session are never closed, nor is the most recently used connection of served viewers:
     * releases need one such connection, and a crowd of new clients must not take it.
     *
     * @return index of the connection, or {@link #NONE}
     */
    public static int chooseVictim(List<Candidate> candidates) {
        int lastServed = NONE;
        for (int i = 0; i < candidates.size(); i++) {
            if (candidates.get(i).activity() == Activity.SERVED
                    && (lastServed == NONE
                            || candidates.get(i).idleMs()
                                    < candidates.get(lastServed).idleMs())) {
                lastServed = i;
            }
        }
        int victim = NONE;
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(i);
            if (i != lastServed
                    && candidate.openSetUps() == 0
                    && candidate.activeSessions() == 0
                    && (victim == NONE || evictedBefore(candidate, candidates.get(victim)))) {
                victim = i;
            }
        }
        return victim;
    }

    private static boolean evictedBefore(Candidate candidate, Candidate other) {
        int byRank = Integer.compare(evictionRank(candidate), evictionRank(other));
        return byRank != 0 ? byRank < 0 : candidate.idleMs() > other.idleMs();
    }

    private static int evictionRank(Candidate candidate) {
        return switch (candidate.activity()) {
            case NOTHING_USEFUL -> candidate.idleMs() >= FIRST_REQUEST_GRACE_MS ? 0 : 3;
            case NOT_SERVED -> 1;
            case SERVED -> 2;
        };
    }

    /**
     * A connection that may carry a pending release.
     *
     * @param usable true when viewers are served on the connection and output can be written
     * @param lastUsefulAt time of the last useful input, ms
     */
    public record Route(boolean usable, double lastUsefulAt) {}

    /**
     * Chooses the usable connection with the latest useful input. When another one is usable, the previous choice
     * is skipped: a release that was not acknowledged on one connection may be acknowledged on the next.
     *
     * @param previous index of the previous choice, or {@link #NONE}
     * @return index of the connection, or {@link #NONE}
     */
    public static int chooseRoute(List<Route> routes, int previous) {
        int best = NONE;
        int secondBest = NONE;
        for (int i = 0; i < routes.size(); i++) {
            if (!routes.get(i).usable()) {
                continue;
            }
            if (best == NONE || routes.get(i).lastUsefulAt() > routes.get(best).lastUsefulAt()) {
                secondBest = best;
                best = i;
            } else if (secondBest == NONE
                    || routes.get(i).lastUsefulAt() > routes.get(secondBest).lastUsefulAt()) {
                secondBest = i;
            }
        }
        return best == previous && secondBest != NONE ? secondBest : best;
    }
}
