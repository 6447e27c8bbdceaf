package spanrill.decisions;

/**
 * Which connection to a box an exchange takes. Set-ups and releases come first: they may use connections that
 * segments may not, so a box whose data path is stuck can't hold a release back.
 *
 * @param most connections to one box at most
 * @param kept of these, held free of segments
 * @param waiting segments that may wait for a connection at most
 */
public record PoolPolicy(int most, int kept, int waiting) {
    /** What to do with an exchange. */
    public enum Choice {
        REUSE,
        OPEN,
        WAIT,
        TURN_AWAY
    }

    /** Checks the figures. */
    public PoolPolicy {
        if (most < 1 || kept < 0 || kept >= most || waiting < 0) {
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
        int cap = control ? most : most - kept;
        int busy = open - idle;
        if (busy < cap) {
            return idle > 0 ? Choice.REUSE : Choice.OPEN;
        }
        return !control && queued < waiting ? Choice.WAIT : Choice.TURN_AWAY;
    }
}
