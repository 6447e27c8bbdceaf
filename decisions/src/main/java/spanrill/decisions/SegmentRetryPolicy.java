package spanrill.decisions;

/**
 * Decides what to do when the box fails to deliver a segment. Until the first byte is sent to the viewer, a retry
 * is safe. The retry is delayed, because the session may be moved, or end with its box, in the meantime.
 */
public final class SegmentRetryPolicy {
    private static final double RETRY_DELAY_MS = 150;
    private static final int MAX_TRIES = 3;

    /** How to continue. */
    public enum Action {
        /** Close the viewer's connection: part of the segment was sent, with the length of the whole. */
        ABORT,
        /** Answer 416 (range not satisfiable). */
        RANGE_NOT_SATISFIABLE,
        /** Answer 502 (bad gateway). */
        GIVE_UP,
        /** Retry after {@code retryDelayMs}. */
        RETRY
    }

    /**
     * The decision.
     *
     * @param action how to continue
     * @param sessionLost true when the box does not know the session
     * @param retryDelayMs delay of a retry, ms
     */
    public record Decision(Action action, boolean sessionLost, double retryDelayMs) {}

    private SegmentRetryPolicy() {}

    /**
     * Decides how to continue.
     *
     * @param started true when part of the segment was sent to the viewer
     * @param status status code of the box, 0 when there was no answer
     * @param tries number of requests sent for the segment so far
     */
    public static Decision decide(boolean started, int status, int tries) {
        if (started) {
            return new Decision(Action.ABORT, false, 0);
        }
        if (status == 416) {
            return new Decision(Action.RANGE_NOT_SATISFIABLE, false, 0);
        }
        boolean sessionLost = status == 404;
        return tries >= MAX_TRIES
                ? new Decision(Action.GIVE_UP, sessionLost, 0)
                : new Decision(Action.RETRY, sessionLost, RETRY_DELAY_MS);
    }
}
