package spanrill.decisions;

/**
 * Decides which connection to a box an exchange uses. Some connections are reserved for control exchanges
 * (set-ups, rung changes and releases), so that a box whose data path is blocked can't delay a release.
 *
 * @param maxConnections maximum number of connections to one box
 * @param reservedConnections number of these that segments may not use
 * @param maxQueuedSegments maximum number of segments that wait for a connection
 */
public record PoolPolicy(int maxConnections, int reservedConnections, int maxQueuedSegments) {
    /** How an exchange gets a connection. */
    public enum Choice {
        REUSE,
        OPEN,
        WAIT,
        REJECT
    }

    /** Checks the limits. */
    public PoolPolicy {
        if (maxConnections < 1
                || reservedConnections < 0
                || reservedConnections >= maxConnections
                || maxQueuedSegments < 0) {
            throw new IllegalArgumentException("a connection pool needs maxConnections >= 1, reservedConnections from"
                    + " 0 to below maxConnections, and maxQueuedSegments >= 0");
        }
    }

    /**
     * Chooses a connection for an exchange.
     *
     * @param control true for set-ups, rung changes and releases
     * @param idle number of open connections that are free
     * @param open number of connections that are open or being opened
     * @param queued number of exchanges of the same kind that already wait
     */
    public Choice choose(boolean control, int idle, int open, int queued) {
        int limit = control ? maxConnections : maxConnections - reservedConnections;
        int busy = open - idle;
        if (busy < limit) {
            return idle > 0 ? Choice.REUSE : Choice.OPEN;
        }
        return !control && queued < maxQueuedSegments ? Choice.WAIT : Choice.REJECT;
    }
}
