package spanrill.decisions;

import java.util.List;

/** Which viewers' connection makes place for a new one, and which takes what is owed on no other. */
public final class ConnectionEviction {
    /** None. */
    public static final int NONE = -1;

    // A viewer's set-up follows its connection at once, but may be under way or lie unread for so long.
    private static final double YOUNG_MS = 300;

    private ConnectionEviction() {}

    /** What has come on a connection so far. */
    public enum Activity {
        /** Nothing that could be used. */
        NOTHING_USEFUL,
        /** A test, or a set-up that was not served. */
        NOT_SERVED,
        /** A viewer was served on it. */
        SERVED
    }

    /**
     * A connection that may have to go.
     *
     * @param openSetUps set-ups open on it
     * @param activeSessions sessions that were set up on it and stand: their end is told on it
     * @param activity what came on it
     * @param idleMs time since something useful came on it, or since it was accepted
     */
    public record Candidate(int openSetUps, int activeSessions, Activity activity, double idleMs) {}

    /**
     * Who makes place for a new connection. First those that have had time to ask and did not, then those
     * that were not served, then those of viewers without a session, then those that had no time yet; among
     * equals the longest quiet. Never one on which somebody waits or a session stands, nor the viewers'
     * connection used last: what ends must be told on one, and strangers in a crowd would cost viewers it.
     */
    public static int chooseVictim(List<Candidate> held) {
        int keep = NONE;
        for (int i = 0; i < held.size(); i++) {
            if (held.get(i).activity() == Activity.SERVED
                    && (keep == NONE || held.get(i).idleMs() < held.get(keep).idleMs())) {
                keep = i;
            }
        }
        int chosen = NONE;
        for (int i = 0; i < held.size(); i++) {
            Candidate one = held.get(i);
            if (i != keep
                    && one.openSetUps() == 0
                    && one.activeSessions() == 0
                    && (chosen == NONE || before(one, held.get(chosen)))) {
                chosen = i;
            }
        }
        return chosen;
    }

    private static boolean before(Candidate one, Candidate other) {
        int byTurn = Integer.compare(turn(one), turn(other));
        return byTurn != 0 ? byTurn < 0 : one.idleMs() > other.idleMs();
    }

    private static int turn(Candidate one) {
        return switch (one.activity()) {
            case NOTHING_USEFUL -> one.idleMs() >= YOUNG_MS ? 0 : 3;
            case NOT_SERVED -> 1;
            case SERVED -> 2;
        };
    }

    /**
     * A connection that may take what is owed.
     *
     * @param usable true when viewers are served on it and it can be written to
     * @param lastUsefulAt when something useful came on it last, ms
     */
    public record Route(boolean usable, double lastUsefulAt) {}

    /**
     * The one on which something useful came last, but not the one given last time while there is another:
     * what was not heard on one may be heard on the next.
     *
     * @param last index of the one given last time, or {@link #NONE}
     */
    public static int chooseRoute(List<Route> ways, int last) {
        int best = NONE;
        int second = NONE;
        for (int i = 0; i < ways.size(); i++) {
            if (!ways.get(i).usable()) {
                continue;
            }
            if (best == NONE || ways.get(i).lastUsefulAt() > ways.get(best).lastUsefulAt()) {
                second = best;
                best = i;
            } else if (second == NONE
                    || ways.get(i).lastUsefulAt() > ways.get(second).lastUsefulAt()) {
                second = i;
            }
        }
        return best == last && second != NONE ? second : best;
    }
}
