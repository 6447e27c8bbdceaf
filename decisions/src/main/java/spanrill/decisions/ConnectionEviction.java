package spanrill.decisions;

import java.util.List;

/** Chooses which client connection is closed in favour of a new one. */
public final class ConnectionEviction {
    /** No connection is suitable. */
    public static final int NONE = -1;

    // A viewer's set-up follows the new connection at once but can be in transit or unread for this long.
    private static final double FIRST_REQUEST_GRACE_MS = 300;

    private ConnectionEviction() {}

    /**
     * A connection that may be closed.
     *
     * @param openSetUps set-ups open on the connection
     * @param activeSessions established sessions that were set up on the connection; their releases are sent on it
     * @param activity the most useful input so far
     * @param idleMs time since the last useful input, or since the connection was accepted
     */
    public record Candidate(int openSetUps, int activeSessions, ClientActivity activity, double idleMs) {}

    /**
     * Chooses the connection to close in favour of a new one: first connections without a useful request after
     * the grace period, then those with requests that were not served, then served ones without a session, then
     * those still in the grace period; among equals the one idle for longest.
     * Connections with an open set-up or an established session are never closed, nor is the connection that releases
     * would be sent on: releases need one such connection, and a crowd of new clients must not take it.
     *
     * @return index of the connection, or {@link #NONE}
     */
    public static int chooseVictim(List<Candidate> candidates) {
        int releaseRoute = chooseReleaseRoute(candidates);
        int victim = NONE;
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(i);
            if (i != releaseRoute
                    && candidate.openSetUps() == 0
                    && candidate.activeSessions() == 0
                    && (victim == NONE || evictedBefore(candidate, candidates.get(victim)))) {
                victim = i;
            }
        }
        return victim;
    }

    /** The connection that releases are sent on first, or {@link #NONE} when none leads to viewers. */
    private static int chooseReleaseRoute(List<Candidate> candidates) {
        List<Integer> routes = ReleaseRoutes.order(candidates.stream()
                .map(candidate -> new ReleaseRoutes.Route(candidate.activity(), true, -candidate.idleMs()))
                .toList());
        return routes.isEmpty() ? NONE : routes.get(0);
    }

    private static boolean evictedBefore(Candidate candidate, Candidate other) {
        int byRank = Integer.compare(evictionRank(candidate), evictionRank(other));
        return byRank != 0 ? byRank < 0 : candidate.idleMs() > other.idleMs();
    }

    private static int evictionRank(Candidate candidate) {
        return switch (candidate.activity()) {
            case NOTHING_USEFUL -> candidate.idleMs() >= FIRST_REQUEST_GRACE_MS ? 0 : 3;
            case TESTED, REQUESTED -> 1;
            case SERVED -> 2;
        };
    }
}
