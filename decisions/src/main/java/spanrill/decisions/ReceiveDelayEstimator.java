package spanrill.decisions;

/**
 * How long a message may have lain unread. A viewer's wait counts from when it sent the set-up; while the
 * loop was busy, or the process was held back by its share of a core, bytes waited in the socket. The loop
 * tells that it goes round; the time since it last did, past its usual round, is taken off the wait.
 */
public final class ReceiveDelayEstimator {
    private final double roundMs;
    private double lastRound = Double.NaN;

    /** A loop that goes round at least each {@code roundMs}. */
    public ReceiveDelayEstimator(double roundMs) {
        this.roundMs = roundMs;
    }

    /** The loop went round. */
    public void onLoopIteration(double now) {
        lastRound = now;
    }

    /** Time that what is read now may have waited, ms. */
    public double estimateMs(double now) {
        return Double.isNaN(lastRound) ? 0 : Math.max(0, now - lastRound - roundMs);
    }
}
