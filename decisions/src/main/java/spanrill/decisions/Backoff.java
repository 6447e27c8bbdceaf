package spanrill.decisions;

import java.util.SplittableRandom;

/** When to try a peer again: doubling from a least to a most wait, each drawn from its upper half. */
public final class Backoff {
    private final double leastMs;
    private final double mostMs;
    private final SplittableRandom random;
    private int failures;

    /** Waits from {@code leastMs} to {@code mostMs}; the draw comes from the seed. */
    public Backoff(double leastMs, double mostMs, long seed) {
        if (!(leastMs > 0) || mostMs < leastMs) {
            throw new IllegalArgumentException("waits must be above 0 and in order");
        }
        this.leastMs = leastMs;
        this.mostMs = mostMs;
        random = new SplittableRandom(seed);
    }

    /** It failed: the wait before the next try, in milliseconds. */
    public double nextDelayMs() {
        double whole = Math.min(mostMs, leastMs * Math.pow(2, Math.min(failures, 40)));
        failures++;
        return whole * (0.5 + random.nextDouble() / 2);
    }

    /** It answered. */
    public void reset() {
        failures = 0;
    }

    /** Failures in a row. */
    public int failures() {
        return failures;
    }
}
