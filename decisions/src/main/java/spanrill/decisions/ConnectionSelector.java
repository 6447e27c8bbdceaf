package spanrill.decisions;

import java.util.List;

/**
 * Which connection to a server takes a set-up. Each set-up gets one of its own while there is room: an answer
 * that can't be read spoils whatever else is open on its connection. Past the most for one server they share
 * the least loaded one.
 */
public final class ConnectionSelector {
    /** Open a new connection. */
    public static final int OPEN_NEW = -1;
    /** None may be opened and none can be shared. */
    public static final int NONE_AVAILABLE = -2;

    private final double idleMostMs;
    private final int mostOnOne;

    /**
     * A choice.
     *
     * @param idleMostMs one idle for longer takes nothing: the server may be closing it
     * @param mostOnOne set-ups open on one connection at most
     */
    public ConnectionSelector(double idleMostMs, int mostOnOne) {
        this.idleMostMs = idleMostMs;
        this.mostOnOne = mostOnOne;
    }

    /**
     * A connection as it stands.
     *
     * @param openSetUps set-ups open on it
     * @param idleMs time since its last set-up or answer
     * @param usable connected or connecting, and nothing spoilt or overdue was seen on it
     */
    public record Connection(int openSetUps, double idleMs, boolean usable) {}

    /** Index of the connection to use, {@link #OPEN_NEW} or {@link #NONE_AVAILABLE}. */
    public int select(List<Connection> links, boolean mayOpen) {
        int free = NONE_AVAILABLE;
        int shared = NONE_AVAILABLE;
        for (int i = 0; i < links.size(); i++) {
            Connection link = links.get(i);
            if (!link.usable() || link.idleMs() > idleMostMs) {
                continue;
            }
            // The one used last is the least likely to have been closed unseen.
            if (link.openSetUps() == 0
                    && (free < 0 || link.idleMs() < links.get(free).idleMs())) {
                free = i;
            }
            if (link.openSetUps() < mostOnOne
                    && (shared < 0 || link.openSetUps() < links.get(shared).openSetUps())) {
                shared = i;
            }
        }
        if (free >= 0) {
            return free;
        }
        return mayOpen ? OPEN_NEW : shared;
    }
}
