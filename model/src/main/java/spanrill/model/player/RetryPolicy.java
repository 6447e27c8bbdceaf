package spanrill.model.player;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Whether and when a viewer comes again after a refusal or a break. The wait doubles with each refusal in a
 * row, from a drawn base; who honours Retry-After waits at least that long, and draws what comes on top of it
 * so that those who were told the same don't come back at the same time.
 */
public final class RetryPolicy {
    private final ViewerTraits traits;
    private final UniformRandomProvider random;
    private final double leastMs;
    private final double mostMs;
    private int refusals;

    /** Waits from {@code leastMs} to {@code mostMs} the first time. */
    public RetryPolicy(ViewerTraits traits, UniformRandomProvider random, double leastMs, double mostMs) {
        this.traits = traits;
        this.random = random;
        this.leastMs = leastMs;
        this.mostMs = mostMs;
    }

    /** It plays: the next refusal is the first again. */
    public void onPlaying() {
        refusals = 0;
    }

    /**
     * Turned away, or broken off.
     *
     * @param tries requests made so far
     * @param refused true when it was turned away, false when something broke
     * @param retryAfterMs told with it, 0 for nothing
     * @return the wait, or -1 when it doesn't come again
     */
    public double nextDelayMs(int tries, boolean refused, double retryAfterMs) {
        if (tries >= traits.maxRequests() || random.nextDouble() >= traits.returnProbability()) {
            return -1;
        }
        double base = leastMs + random.nextDouble() * (mostMs - leastMs);
        if (!refused) {
            return base;
        }
        double own = base * Math.pow(2, Math.min(refusals, 4));
        refusals++;
        boolean heeds = traits.honoursRetryAfter() && retryAfterMs > 0;
        return heeds ? Math.max(own, retryAfterMs + random.nextDouble() * base) : own;
    }
}
