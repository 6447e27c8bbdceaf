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
    public enum Brought {
        /** Nothing that could be used. */
        NOTHING,
        /** A test, or a set-up that was not served. */
        LITTLE,
        /** A viewer was served on it. */
        SERVICE
    }

    /**
     * A connection that may have to go.
     *
     * @param waiting set-ups open on it
     * @param standing sessions that were set up on it and stand: their end is told on it
     * @param brought what came on it
     * @param quietMs time since something useful came on it, or since it was accepted
     */
    public record Held(int waiting, int standing, Brought brought, double quietMs) {}

    /**
     * Who makes place for a new connection. First those that have had time to ask and did not, then those
     * that were not served, then those of viewers without a session, then those that had no time yet; among
     * equals the longest quiet. Never one on which somebody waits or a session stands, nor the viewers'
     * connection used last: what ends must be told on one, and strangers in a crowd would cost viewers it.
     */
    public static int toClose(List<Held> held) {
        int keep = NONE;
        for (int i = 0; i < held.size(); i++) {
            if (held.get(i).brought() == Brought.SERVICE
                    && (keep == NONE || held.get(i).quietMs() < held.get(keep).quietMs())) {
                keep = i;
            }
        }
        int chosen = NONE;
        for (int i = 0; i < held.size(); i++) {
            Held one = held.get(i);
            if (i != keep
                    && one.waiting() == 0
                    && one.standing() == 0
                    && (chosen == NONE || before(one, held.get(chosen)))) {
                chosen = i;
            }
        }
        return chosen;
    }

    private static boolean before(Held one, Held other) {
        int byTurn = Integer.compare(turn(one), turn(other));
        return byTurn != 0 ? byTurn < 0 : one.quietMs() > other.quietMs();
    }

    private static int turn(Held one) {
        return switch (one.brought()) {
            case NOTHING -> one.quietMs() >= YOUNG_MS ? 0 : 3;
            case LITTLE -> 1;
            case SERVICE -> 2;
        };
    }

    /**
     * A connection that may take what is owed.
     *
     * @param reaches true when viewers are served on it and it can be written to
     * @param usefulAt when something useful came on it last, ms
     */
    public record Way(boolean reaches, double usefulAt) {}

    /**
     * The one on which something useful came last, but not the one given last time while there is another:
     * what was not heard on one may be heard on the next.
     *
     * @param last index of the one given last time, or {@link #NONE}
     */
    public static int toTell(List<Way> ways, int last) {
        int best = NONE;
        int second = NONE;
        for (int i = 0; i < ways.size(); i++) {
            if (!ways.get(i).reaches()) {
                continue;
            }
            if (best == NONE || ways.get(i).usefulAt() > ways.get(best).usefulAt()) {
                second = best;
                best = i;
            } else if (second == NONE
                    || ways.get(i).usefulAt() > ways.get(second).usefulAt()) {
                second = i;
            }
        }
        return best == last && second != NONE ? second : best;
    }
}
