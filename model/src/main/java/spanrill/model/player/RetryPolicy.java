package spanrill.model.player;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides whether and when a viewer retries after a refusal or a lost session. The delay starts at a random base and
 * doubles with each consecutive refusal (exponential backoff). A viewer who honours Retry-After waits at least that
 * long plus a random time, so that viewers with the same Retry-After do not retry simultaneously.
 */
public final class RetryPolicy {
    private final ViewerTraits traits;
    private final UniformRandomProvider random;
    private final double minBaseMs;
    private final double maxBaseMs;
    private int consecutiveRefusals;

    /** Creates a policy whose base delay is from {@code minBaseMs} to {@code maxBaseMs}. */
    public RetryPolicy(ViewerTraits traits, UniformRandomProvider random, double minBaseMs, double maxBaseMs) {
        this.traits = traits;
        this.random = random;
        this.minBaseMs = minBaseMs;
        this.maxBaseMs = maxBaseMs;
    }

    /** Resets the backoff when a session plays. */
    public void onPlaying() {
        consecutiveRefusals = 0;
    }

    /**
     * Returns the delay before the next request.
     *
     * @param requestCount number of requests made so far
     * @param refused true after a refusal, false after a lost session or connection
     * @param retryAfterMs Retry-After of the refusal in ms, 0 if there is none
     * @return the delay in ms, or -1 if the viewer does not retry
     */
    public double nextDelayMs(int requestCount, boolean refused, double retryAfterMs) {
        if (requestCount >= traits.maxRequests() || random.nextDouble() >= traits.returnProbability()) {
            return -1;
        }
        double baseMs = minBaseMs + random.nextDouble() * (maxBaseMs - minBaseMs);
        if (!refused) {
            return baseMs;
        }
        double backoffMs = baseMs * Math.pow(2, Math.min(consecutiveRefusals, 4));
        consecutiveRefusals++;
        boolean waitsRetryAfter = traits.honoursRetryAfter() && retryAfterMs > 0;
        return waitsRetryAfter ? Math.max(backoffMs, retryAfterMs + random.nextDouble() * baseMs) : backoffMs;
    }
}
