package spanrill.decisions;

/**
 * What becomes of a viewer's segment whose box lost it. Before the first byte went out another try is
 * harmless; it waits a moment, since the session's own fate (moved, lost with its box) shows in that time.
 */
public final class SegmentRetry {
    private static final double FATE_MS = 150;
    private static final int MOST_TRIES = 3;

    /** What to do. */
    public enum Act {
        /** Cut the viewer's connection: part of the segment is out, and a length was promised. */
        CUT,
        /** Answer that the range is not there (416). */
        NO_SUCH_RANGE,
        /** Answer that it can't be had (502). */
        GIVE_UP,
        /** Look again after {@code afterMs}. */
        AGAIN
    }

    /**
     * A choice.
     *
     * @param act what to do
     * @param sessionLost true when the box doesn't know the session any more
     * @param afterMs when to look again
     */
    public record Choice(Act act, boolean sessionLost, double afterMs) {}

    private SegmentRetry() {}

    /**
     * Chooses.
     *
     * @param started true when part of it went out to the viewer
     * @param status the box's status, 0 when it gave none
     * @param tries how often it was asked for
     */
    public static Choice of(boolean started, int status, int tries) {
        if (started) {
            return new Choice(Act.CUT, false, 0);
        }
        if (status == 416) {
            return new Choice(Act.NO_SUCH_RANGE, false, 0);
        }
        boolean lost = status == 404;
        return tries >= MOST_TRIES ? new Choice(Act.GIVE_UP, lost, 0) : new Choice(Act.AGAIN, lost, FATE_MS);
    }
}
