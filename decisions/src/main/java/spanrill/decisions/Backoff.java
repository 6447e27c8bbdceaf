package spanrill.decisions;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter: the delay doubles from a minimum to a maximum, and each delay is drawn from
 * the upper half of its range.
 */
public final class Backoff {
    private final double minMs;
    private final double maxMs;
    private final SplittableRandom random;
    private int failures;

    /** Creates a backoff with delays from {@code minMs} to {@code maxMs} and jitter from the seed. */
    public Backoff(double minMs, double maxMs, long seed) {
        if (!(minMs > 0) || maxMs < minMs) {
            throw new IllegalArgumentException("backoff delays must satisfy 0 < minMs <= maxMs");
        }
        this.minMs = minMs;
        this.maxMs = maxMs;
        random = new SplittableRandom(seed);
    }

    /** Records a failure and returns the delay before the next attempt, ms. */
    public double nextDelayMs() {
        double fullDelayMs = Math.min(maxMs, minMs * Math.pow(2, Math.min(failures, 40)));
        failures++;
        return fullDelayMs * (0.5 + random.nextDouble() / 2);
    }

    /** Records a success: the next delay starts at the minimum. */
    public void reset() {
        failures = 0;
    }

    /** Number of consecutive failures. */
    public int failures() {
        return failures;
    }
}
