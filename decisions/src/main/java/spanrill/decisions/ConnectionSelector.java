package spanrill.decisions;

import java.util.List;

/**
 * Selects the connection to a server that a set-up is sent on. Each set-up gets its own connection while the
 * limit allows, because an unreadable answer makes all other requests on its connection fail. At the limit,
 * set-ups share the least loaded connection.
 */
public final class ConnectionSelector {
    /** Open a new connection. */
    public static final int OPEN_NEW = -1;
    /** No connection may be opened and none can be shared. */
    public static final int NONE_AVAILABLE = -2;

    private final double maxIdleMs;
    private final int maxSetUpsPerConnection;

    /**
     * Creates a selector.
     *
     * @param maxIdleMs a connection that was idle for longer is not used: the server may be closing it
     * @param maxSetUpsPerConnection maximum number of set-ups open on one connection
     */
    public ConnectionSelector(double maxIdleMs, int maxSetUpsPerConnection) {
        this.maxIdleMs = maxIdleMs;
        this.maxSetUpsPerConnection = maxSetUpsPerConnection;
    }

    /**
     * State of a connection.
     *
     * @param openSetUps set-ups open on the connection
     * @param idleMs time since the last set-up or answer
     * @param usable true when the connection is open or being opened and had no unreadable or overdue answer
     */
    public record Connection(int openSetUps, double idleMs, boolean usable) {}

    /** Index of the connection to use, {@link #OPEN_NEW} or {@link #NONE_AVAILABLE}. */
    public int select(List<Connection> connections, boolean mayOpen) {
        int free = NONE_AVAILABLE;
        int shared = NONE_AVAILABLE;
        for (int i = 0; i < connections.size(); i++) {
            Connection connection = connections.get(i);
            if (!connection.usable() || connection.idleMs() > maxIdleMs) {
                continue;
            }
            // The most recently used connection is the least likely to be closed by the server already.
            if (connection.openSetUps() == 0
                    && (free < 0 || connection.idleMs() < connections.get(free).idleMs())) {
                free = i;
            }
            if (connection.openSetUps() < maxSetUpsPerConnection
                    && (shared < 0
                            || connection.openSetUps() < connections.get(shared).openSetUps())) {
                shared = i;
            }
        }
        if (free >= 0) {
            return free;
        }
        return mayOpen ? OPEN_NEW : shared;
    }
}
