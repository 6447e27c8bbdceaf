package spanrill.decisions;

/**
 * The last answered requests of one client connection. When a set-up arrives again shortly after its answer was
 * written, the client sent it before it knew the answer: it is a retransmission and not a new request, and a second
 * answer would violate the rule of one answer per request. When the buffer is full, the oldest entry is replaced.
 */
public final class RecentAnswers {
    /** The protocol regards messages within 50 ms of each other as crossing. */
    private static final double CROSSING_MS = 50;

    private static final int CAPACITY = 64;

    private final long[] ids = new long[CAPACITY];
    private final double[] answeredAt = new double[CAPACITY];
    private int count;
    private int next;

    /** Records the final answer to a request; {@code now} is in ms of one monotonic clock. */
    public void recordAnswer(double now, long id) {
        ids[next] = id;
        answeredAt[next] = now;
        next = (next + 1) % CAPACITY;
        count = Math.min(CAPACITY, count + 1);
    }

    /** Returns true when a set-up with this id, read now, crosses the answer to an earlier one. */
    public boolean crossesAnswer(double now, long id) {
        for (int i = 0; i < count; i++) {
            if (ids[i] == id && now - answeredAt[i] <= CROSSING_MS) {
                return true;
            }
        }
        return false;
    }
}
