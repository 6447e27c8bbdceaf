package spanrill.decisions;

/**
 * Token bucket that limits the load one connection causes without being served. A rejected set-up or a test costs one
 * token, because it has to be answered, and so does a set-up that is withdrawn before it is started. Any other message
 * costs its size as a share of the largest message that the protocol allows: acknowledgements, cancels and progress
 * messages, which are free according to the protocol, cost almost nothing, but 60 MB of them are a flood. Served
 * set-ups cost nothing.
 */
public final class AbuseLimiter {
    /** A busy node receives up to 90 set-ups per second in total; one client may waste one second of that. */
    private static final double BURST_TOKENS = 90;
    /**
     * Refill rate. Together with the burst, a client that wastes 60 set-ups per second or more is detected
     * within the 3 s in which the protocol requires a flooding connection to be closed.
     */
    private static final double TOKENS_PER_SECOND = 30;

    private static final double LARGEST_MESSAGE_BYTES = 16 * 1024;
    private static final double MS_PER_SECOND = 1000;

    private double tokens = BURST_TOKENS;
    private double refilledAt = Double.NEGATIVE_INFINITY;

    /** Charges for a set-up that was rejected at {@code now} (ms). Returns true when the limit is exceeded. */
    public boolean chargeRejectedSetUp(double now) {
        return charge(now, 1);
    }

    /** Charges for a message that is not a set-up. Returns true when the limit is exceeded. */
    public boolean chargeMessage(double now, int bytes) {
        return charge(now, bytes / LARGEST_MESSAGE_BYTES);
    }

    private boolean charge(double now, double cost) {
        if (now > refilledAt) {
            tokens = Math.min(BURST_TOKENS, tokens + (now - refilledAt) * TOKENS_PER_SECOND / MS_PER_SECOND);
            refilledAt = now;
        }
        tokens -= cost;
        return tokens < 0;
    }
}
