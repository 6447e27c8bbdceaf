package spanrill.model.link;

/**
 * Token bucket that converts the bytes granted to a flow into the bytes that may be written now. Bytes granted while
 * the flow had nothing to send (between two segments) stay available for {@code depthMs} only, because a real link
 * does not deliver unused capacity later.
 */
public final class FlowTokenBucket {
    private final double depthMs;
    private double lastGrantedBytes;
    private double available;

    /** Creates an empty bucket that holds at most the bytes granted in {@code depthMs}. */
    public FlowTokenBucket(double depthMs) {
        this.depthMs = depthMs;
    }

    /**
     * Adds the bytes that were granted since the last call.
     *
     * @param grantedBytes bytes granted to the flow since it began
     * @param ratePerMs current rate in bytes per millisecond
     */
    public void addGranted(double grantedBytes, double ratePerMs) {
        available = Math.min(available + grantedBytes - lastGrantedBytes, Math.max(1, ratePerMs * depthMs));
        lastGrantedBytes = grantedBytes;
    }

    /** Adds bytes beyond the granted ones, for a fast start on a link with spare capacity. */
    public void addBurst(double bytes) {
        available += bytes;
    }

    /** Returns the number of whole bytes that may be written. */
    public int availableBytes() {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(0, available));
    }

    /** Removes written bytes from the bucket. */
    public void consume(int bytes) {
        available -= bytes;
    }
}
