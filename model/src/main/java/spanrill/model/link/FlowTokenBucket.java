package spanrill.model.link;

/**
 * SerialExecutor what a link grants a flow into bytes that may be written now. What was granted while nothing was
 * asked
 * for (between two segments) may be caught up for a short time; a link can't give it much later.
 */
public final class FlowTokenBucket {
    private final double depthMs;
    private double grantedSeen;
    private double allowance;

    /** Keeps at most what is granted in so many milliseconds. */
    public FlowTokenBucket(double depthMs) {
        this.depthMs = depthMs;
    }

    /**
     * Takes in what was granted up to now.
     *
     * @param granted bytes granted to the flow since it began
     * @param ratePerMs bytes that are granted in a millisecond now
     */
    public void addGranted(double granted, double ratePerMs) {
        allowance = Math.min(allowance + granted - grantedSeen, Math.max(1, ratePerMs * depthMs));
        grantedSeen = granted;
    }

    /** Adds bytes beyond what is granted: a start where the link has room. */
    public void addBurst(double bytes) {
        allowance += bytes;
    }

    /** Whole bytes that may be written. */
    public int availableBytes() {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(0, allowance));
    }

    /** So many were written. */
    public void consume(int bytes) {
        allowance -= bytes;
    }
}
