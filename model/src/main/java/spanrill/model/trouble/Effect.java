package spanrill.model.trouble;

/** One thing that a trouble does, at a time of the day. */
public sealed interface Effect {
    /** When, ms from the start of the day. */
    double atMs();

    /** A box's process dies. */
    record BoxStops(double atMs, int box, String reason) implements Effect {}

    /** A box's process starts, cold. {@code silent}: the registry finds out by itself. */
    record BoxStarts(double atMs, int box, boolean unannounced) implements Effect {}

    /** A box finishes what it has and takes nothing new; the registry is told. */
    record BoxDrains(double atMs, int box) implements Effect {}

    /** A box neither reads nor writes any more; the registry finds out by itself. */
    record BoxHangs(double atMs, int box) implements Effect {}

    /** A box's set-ups take so many times as long. */
    record BoxSlowdown(double atMs, int box, double factor) implements Effect {}

    /** A box's link gives this share. */
    record BoxLinkShare(double atMs, int box, double share) implements Effect {}

    /** A box's notes come so much later. */
    record BoxNoteDelay(double atMs, int box, double delayMs) implements Effect {}

    /** This share of a box's answers to set-ups is lost. */
    record BoxAnswerLoss(double atMs, int box, double share) implements Effect {}

    /** A rack's uplink gives this share. */
    record RackUplinkShare(double atMs, int rack, double share) implements Effect {}

    /** A hall is cut off, or healed. */
    record HallIsolation(double atMs, int hall, boolean isolated) implements Effect {}

    /** A front's process dies. */
    record FrontStops(double atMs, int front) implements Effect {}

    /** A front's process starts. */
    record FrontStarts(double atMs, int front) implements Effect {}

    /** A front's process stands still, or goes on. */
    record FrontPause(double atMs, int front, boolean paused) implements Effect {}
}
