package spanrill.decisions;

/**
 * Decides when the discovery stream is requested again: soon after a failure, and when the stream has been
 * silent for longer than its comments (one per second) allow. The protocol counts a missed update as delivered
 * 2 s after a broken stream and 4 s after a stalled one, so the delays stay well below these limits.
 */
public final class DiscoveryRetryPolicy {
    private static final double MIN_RETRY_DELAY_MS = 60;
    private static final double MAX_RETRY_DELAY_MS = 600;
    private static final double MAX_SILENCE_MS = 2200;
    private static final double FIRST_DATA_TIMEOUT_MS = 1500;

    // Missed updates are sent at once at the start of a response: a pause of this length after data, or this long
    // without any data, means that all of them were received. Network round trips take a few milliseconds.
    private static final double CATCH_UP_PAUSE_MS = 20;
    private static final double CATCH_UP_NO_DATA_MS = 100;

    private final Backoff backoff;
    private double requestedAt = Double.NaN;
    private double respondedAt = Double.NaN;
    private double lastDataAt = Double.NaN;
    private double retryAt = Double.NaN;
    private boolean failedBefore;

    /** Creates a policy whose delays have jitter from the seed. */
    public DiscoveryRetryPolicy(long seed) {
        backoff = new Backoff(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, seed);
    }

    /** Records that a request was sent. */
    public void onRequest(double now) {
        requestedAt = now;
        respondedAt = Double.NaN;
        lastDataAt = Double.NaN;
        retryAt = Double.NaN;
    }

    /** Records the start of the response. */
    public void onResponse(double now) {
        respondedAt = now;
    }

    /** Records received data: an event, part of an event, or a comment. */
    public void onData(double now) {
        lastDataAt = now;
        if (now - requestedAt >= MAX_RETRY_DELAY_MS) {
            // The response goes on, so the last retry was a success. One that begins with an update that cannot be
            // applied ends at once, each time.
            backoff.reset();
        }
    }

    /** Records that an update was applied. */
    public void onUpdateApplied() {
        backoff.reset();
    }

    /** Records that the request failed, the stream ended, or an event could not be parsed. */
    public void onFailure(double now) {
        failedBefore = true;
        if (Double.isNaN(retryAt)) {
            retryAt = now + backoff.nextDelayMs();
        }
    }

    /** Returns true when a new request must be sent now. */
    public boolean isRetryDue(double now) {
        if (!Double.isNaN(retryAt)) {
            return now >= retryAt;
        }
        return Double.isNaN(lastDataAt)
                ? now - requestedAt >= FIRST_DATA_TIMEOUT_MS
                : now - lastDataAt >= MAX_SILENCE_MS;
    }

    /**
     * Returns true when the updates sent before the start of this node are known, as far as discovery can be
     * reached: the protocol counts them as delivered to a node that has yet to request them. The node starts to
     * serve viewers then.
     */
    public boolean isCaughtUp(double now) {
        return failedBefore
                || now - requestedAt >= FIRST_DATA_TIMEOUT_MS
                || now - lastDataAt >= CATCH_UP_PAUSE_MS
                || (Double.isNaN(lastDataAt) && now - respondedAt >= CATCH_UP_NO_DATA_MS);
    }
}
