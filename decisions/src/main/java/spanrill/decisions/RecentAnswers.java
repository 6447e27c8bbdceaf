package spanrill.decisions;

/**
 * The requests that one client connection was answered last. A set-up that comes again within the time that
 * two messages may cross in was sent before its client knew of the answer: it is a repetition, not a new
 * request, and a second answer would break the rule of one answer. Bounded, the oldest is forgotten first.
 */
public final class RecentAnswers {
    /** What crosses within 50 ms counts as crossing by the protocol. */
    private static final double CROSSING_MS = 50;

    private static final int MOST = 64;

    private final long[] ids = new long[MOST];
    private final double[] answeredAt = new double[MOST];
    private int count;
    private int next;

    /** A request has its final answer now, ms of one monotonic clock. */
    public void recordAnswer(double now, long id) {
        ids[next] = id;
        answeredAt[next] = now;
        next = (next + 1) % MOST;
        count = Math.min(MOST, count + 1);
    }

    /** True when a set-up with this id, read now, crosses the answer to an earlier one. */
    public boolean crossesAnswer(double now, long id) {
        for (int i = 0; i < count; i++) {
            if (ids[i] == id && now - answeredAt[i] <= CROSSING_MS) {
                return true;
            }
        }
        return false;
    }
}
