package spanrill.decisions;

/**
 * Which connection to a box an exchange takes. Set-ups and releases come first: they may use connections that
 * segments may not, so a box whose data path is stuck can't hold a release back.
 *
 * @param maxConnections connections to one box at most
 * @param reservedConnections of these, held free of segments
 * @param maxQueuedSegments segments that may wait for a connection at most
 */
public record PoolPolicy(int maxConnections, int reservedConnections, int maxQueuedSegments) {
    /** What to do with an exchange. */
    public enum Choice {
        REUSE,
        OPEN,
        WAIT,
        REJECT
    }

    /** Checks the figures. */
    public PoolPolicy {
        if (maxConnections < 1
                || reservedConnections < 0
                || reservedConnections >= maxConnections
                || maxQueuedSegments < 0) {
            throw new IllegalArgumentException("caps of a pool must fit each other");
        }
    }

    /**
     * Chooses.
     *
     * @param control true for set-up, rung and release
     * @param idle connections open and free
     * @param open connections open or being opened
     * @param queued exchanges of its sort that wait already
     */
    public Choice choose(boolean control, int idle, int open, int queued) {
        int cap = control ? maxConnections : maxConnections - reservedConnections;
        int busy = open - idle;
        if (busy < cap) {
            return idle > 0 ? Choice.REUSE : Choice.OPEN;
        }
        return !control && queued < maxQueuedSegments ? Choice.WAIT : Choice.REJECT;
    }
}
