package spanrill.decisions;

/** Limits the number of open connections. A connection above the limit is closed before any input is read. */
public final class ConnectionBudget {
    private final int limit;
    private int open;
    private long rejected;
    private boolean full;

    /** Creates a budget of {@code limit} connections. */
    public ConnectionBudget(int limit) {
        if (limit < 1) {
            throw new IllegalArgumentException("the connection limit must be at least 1");
        }
        this.limit = limit;
    }

    /** Counts a new connection. Returns true when it may stay; then {@link #onClosed} must be called later. */
    public boolean tryOpen() {
        if (open >= limit) {
            rejected++;
            return false;
        }
        open++;
        return true;
    }

    /** Records that a counted connection was closed. */
    public void onClosed() {
        if (open == 0) {
            throw new IllegalTransitionException("a connection was closed that was never counted as open");
        }
        open--;
    }

    /**
     * Returns true once each time that the budget becomes full, so that operators get one log line and not one
     * for each connection. The budget counts as full until a tenth of it is free again.
     */
    public boolean becameFull() {
        boolean wasFull = full;
        full = open >= limit || (full && open > limit * 0.9);
        return full && !wasFull;
    }

    /** Maximum number of open connections. */
    public int limit() {
        return limit;
    }

    /** Number of open connections. */
    public int open() {
        return open;
    }

    /** Number of connections rejected so far. */
    public long rejected() {
        return rejected;
    }
}
