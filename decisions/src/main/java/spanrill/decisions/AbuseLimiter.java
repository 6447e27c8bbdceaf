package spanrill.decisions;

/**
 * Judges one client connection by the rate of what it costs without being of use, as a token bucket. A
 * set-up that can't be used costs one token, since it is answered; any other message costs its share of the
 * largest message that the protocol allows, so that acknowledgements, cancels and progress messages, which
 * the protocol calls free, cost next to nothing and 60 MB of them are a flood. Served set-ups cost nothing.
 */
public final class AbuseLimiter {
    /** A busy node gets up to 90 set-ups a second in all: one client may waste one second of that at once. */
    private static final double BURST = 90;
    /**
     * Tokens regained each second: with the burst, a client that wastes 60 set-ups a second or more is
     * found within the 3 s in which the protocol wants a flood closed.
     */
    private static final double TOKENS_PER_SECOND = 30;

    private static final double LARGEST_MESSAGE_BYTES = 16 * 1024;
    private static final double MS_PER_SECOND = 1000;

    private double tokens = BURST;
    private double countedAt = Double.NEGATIVE_INFINITY;

    /** A set-up came that can't be used; true when the connection is abused. */
    public boolean chargeRejectedSetUp(double now) {
        return spend(now, 1);
    }

    /** A message of so many bytes came that asks for nothing; true when the connection is abused. */
    public boolean chargeMessage(double now, int bytes) {
        return spend(now, bytes / LARGEST_MESSAGE_BYTES);
    }

    private boolean spend(double now, double cost) {
        if (now > countedAt) {
            tokens = Math.min(BURST, tokens + (now - countedAt) * TOKENS_PER_SECOND / MS_PER_SECOND);
            countedAt = now;
        }
        tokens -= cost;
        return tokens < 0;
    }
}
