package spanrill.decisions;

/**
 * When a node that was asked to stop ends: requests may come for 0.6 s, those that come within 0.7 s must be
 * answered, and it is killed no earlier than the longest deadline (3 s at least) and 0.7 s after it was
 * asked.
 */
public final class StopTimes {
    private static final double COMING_MS = 900;
    private static final double LEAST_DEADLINE_MS = 3000;
    private static final double KILL_MS = 700;
    private static final double MARGIN_MS = 200;

    private final double lastMs;

    /** For the longest deadline of a class. */
    public StopTimes(double deadlineMs) {
        lastMs = Math.max(LEAST_DEADLINE_MS, deadlineMs) + KILL_MS - MARGIN_MS;
    }

    /** True when it ends now; {@code open} answers are still owed. */
    public boolean over(double sinceMs, int open) {
        return sinceMs >= lastMs || (sinceMs >= COMING_MS && open == 0);
    }
}
