package spanrill.decisions;

/** How many connections of viewers are open at once; one beyond is closed before a byte of it is read. */
public final class ConnectionBudget {
    private final int most;
    private int open;
    private long turnedAway;
    private boolean full;

    /** At most so many. */
    public ConnectionBudget(int most) {
        if (most < 1) {
            throw new IllegalArgumentException("there must be room for a connection");
        }
        this.most = most;
    }

    /** One came: true when it may stay, and must be told {@link #onClosed} later. */
    public boolean tryOpen() {
        if (open >= most) {
            turnedAway++;
            return false;
        }
        open++;
        return true;
    }

    /** One that was let in is closed. */
    public void onClosed() {
        if (open == 0) {
            throw new IllegalTransitionException("a connection closed that was never let in");
        }
        open--;
    }

    /**
     * True once each time that the budget has become full: worth a word to operators, but not one for each
     * connection. It counts as full until a tenth of it is free again.
     */
    public boolean becameFull() {
        boolean before = full;
        full = open >= most || (full && open > most * 0.9);
        return full && !before;
    }

    /** At most so many. */
    public int limit() {
        return most;
    }

    /** Open now. */
    public int open() {
        return open;
    }

    /** Turned away so far. */
    public long rejected() {
        return turnedAway;
    }
}
