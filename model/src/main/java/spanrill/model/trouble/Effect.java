package spanrill.model.trouble;

/** One thing that a trouble does, at a time of the day. */
public sealed interface Effect {
    /** When, ms from the start of the day. */
    double atMs();

    /** A box's process dies. */
    record BoxDies(double atMs, int box, String why) implements Effect {}

    /** A box's process starts, cold. {@code silent}: the registry finds out by itself. */
    record BoxStarts(double atMs, int box, boolean silent) implements Effect {}

    /** A box finishes what it has and takes nothing new; the registry is told. */
    record BoxDrains(double atMs, int box) implements Effect {}

    /** A box neither reads nor writes any more; the registry finds out by itself. */
    record BoxMute(double atMs, int box) implements Effect {}

    /** A box's set-ups take so many times as long. */
    record BoxSlow(double atMs, int box, double times) implements Effect {}

    /** A box's link gives this share. */
    record BoxLink(double atMs, int box, double share) implements Effect {}

    /** A box's notes come so much later. */
    record BoxNotesLate(double atMs, int box, double ms) implements Effect {}

    /** This share of a box's answers to set-ups is lost. */
    record BoxAnswersLost(double atMs, int box, double share) implements Effect {}

    /** A rack's uplink gives this share. */
    record RackUplink(double atMs, int rack, double share) implements Effect {}

    /** A hall is cut off, or healed. */
    record HallCut(double atMs, int hall, boolean on) implements Effect {}

    /** A front's process dies. */
    record FrontDies(double atMs, int front) implements Effect {}

    /** A front's process starts. */
    record FrontStarts(double atMs, int front) implements Effect {}

    /** A front's process stands still, or goes on. */
    record FrontStalls(double atMs, int front, boolean on) implements Effect {}
}
