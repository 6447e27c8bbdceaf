package spanrill.decisions;

/**
 * Estimates how long received data waited in the socket buffer. A viewer's patience counts from the sending of
 * the set-up, but data remains unread while the event loop is busy or the process is throttled by its CPU share.
 * The estimate is the time since the last iteration of the loop beyond the normal interval; it is subtracted from
 * the viewer's remaining patience.
 */
public final class ReceiveDelayEstimator {
    private final double maxIterationMs;
    private double lastIterationAt = Double.NaN;

    /** Creates an estimator for a loop that normally iterates at least every {@code maxIterationMs}. */
    public ReceiveDelayEstimator(double maxIterationMs) {
        this.maxIterationMs = maxIterationMs;
    }

    /** Records an iteration of the loop. */
    public void onLoopIteration(double now) {
        lastIterationAt = now;
    }

    /** Estimated delay of data read at {@code now}, ms. */
    public double estimateMs(double now) {
        return Double.isNaN(lastIterationAt) ? 0 : Math.max(0, now - lastIterationAt - maxIterationMs);
    }
}
