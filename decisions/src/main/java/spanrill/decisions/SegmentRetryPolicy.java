package spanrill.decisions;

/**
 * What becomes of a viewer's segment whose box lost it. Before the first byte went out another try is
 * harmless; it waits a moment, since the session's own fate (moved, lost with its box) shows in that time.
 */
public final class SegmentRetryPolicy {
    private static final double FATE_MS = 150;
    private static final int MOST_TRIES = 3;

    /** What to do. */
    public enum Action {
        /** Cut the viewer's connection: part of the segment is out, and a length was promised. */
        ABORT,
        /** Answer that the range is not there (416). */
        RANGE_NOT_SATISFIABLE,
        /** Answer that it can't be had (502). */
        GIVE_UP,
        /** Look again after {@code retryDelayMs}. */
        RETRY
    }

    /**
     * A choice.
     *
     * @param action what to do
     * @param sessionLost true when the box doesn't know the session any more
     * @param retryDelayMs when to look again
     */
    public record Decision(Action action, boolean sessionLost, double retryDelayMs) {}

    private SegmentRetryPolicy() {}

    /**
     * Chooses.
     *
     * @param started true when part of it went out to the viewer
     * @param status the box's status, 0 when it gave none
     * @param tries how often it was asked for
     */
    public static Decision decide(boolean started, int status, int tries) {
        if (started) {
            return new Decision(Action.ABORT, false, 0);
        }
        if (status == 416) {
            return new Decision(Action.RANGE_NOT_SATISFIABLE, false, 0);
        }
        boolean lost = status == 404;
        return tries >= MOST_TRIES ? new Decision(Action.GIVE_UP, lost, 0) : new Decision(Action.RETRY, lost, FATE_MS);
    }
}
