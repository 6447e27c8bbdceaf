package spanrill.decisions;

/**
 * When the bulletin is asked again: soon after a break, and when it has been silent for longer than its
 * comments (one a second) allow. What it would have told counts as told 2 s after a break and 4 s after a
 * stop, so the waits stay well within those.
 */
public final class DiscoveryRetryPolicy {
    private static final double LEAST_MS = 60;
    private static final double MOST_MS = 600;
    private static final double SILENT_MS = 2200;
    private static final double ANSWER_MS = 1500;

    // After an answer began, what was missed comes at once: a pause of so long, or nothing at all for longer,
    // says that it is told. A network's way there and back takes some milliseconds.
    private static final double PAUSE_MS = 20;
    private static final double NOTHING_MS = 100;

    private final Backoff backoff;
    private double askedAt = Double.NaN;
    private double answeredAt = Double.NaN;
    private double heardAt = Double.NaN;
    private double againAt = Double.NaN;
    private boolean brokeOnce;

    /** Waits are drawn from the seed. */
    public DiscoveryRetryPolicy(long seed) {
        backoff = new Backoff(LEAST_MS, MOST_MS, seed);
    }

    /** It is being asked. */
    public void onRequest(double now) {
        askedAt = now;
        answeredAt = Double.NaN;
        heardAt = Double.NaN;
        againAt = Double.NaN;
    }

    /** Its answer has begun. */
    public void onResponse(double now) {
        answeredAt = now;
    }

    /** Something came: an event, a part of one, or a comment. */
    public void onData(double now) {
        heardAt = now;
        backoff.reset();
    }

    /** It can't be had, has ended, or told what can't be read. */
    public void onFailure(double now) {
        brokeOnce = true;
        if (Double.isNaN(againAt)) {
            againAt = now + backoff.nextDelayMs();
        }
    }

    /** True when it is to be asked again now. */
    public boolean isRetryDue(double now) {
        if (!Double.isNaN(againAt)) {
            return now >= againAt;
        }
        return Double.isNaN(heardAt) ? now - askedAt >= ANSWER_MS : now - heardAt >= SILENT_MS;
    }

    /**
     * True when what was told before a start is known, as far as it can be had: it counts for a node that has
     * yet to ask. A node serves viewers from then on.
     */
    public boolean isCaughtUp(double now) {
        return brokeOnce
                || now - askedAt >= ANSWER_MS
                || now - heardAt >= PAUSE_MS
                || (Double.isNaN(heardAt) && now - answeredAt >= NOTHING_MS);
    }
}
