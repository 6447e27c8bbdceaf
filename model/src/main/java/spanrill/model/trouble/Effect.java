package spanrill.model.trouble;

/** An effect of a trouble on one box, rack, hall or front at one time of the day. */
public sealed interface Effect {
    /** Time of the effect, in ms from the start of the day. */
    double atMs();

    /** The process of a box stops, for the given reason. */
    record BoxStops(double atMs, int box, String reason) implements Effect {}

    /** The process of a box starts cold. If {@code unannounced}, the registry has to detect the start. */
    record BoxStarts(double atMs, int box, boolean unannounced) implements Effect {}

    /** A box drains: it keeps its sessions and rejects new set-ups. The registry is informed. */
    record BoxDrains(double atMs, int box) implements Effect {}

    /** A box hangs: it neither reads nor writes. The registry has to detect that. */
    record BoxHangs(double atMs, int box) implements Effect {}

    /** Set-ups on a box take {@code factor} times as long; 1 ends the slowdown. */
    record BoxSlowdown(double atMs, int box, double factor) implements Effect {}

    /** The link of a box has this share of its nominal capacity. */
    record BoxLinkShare(double atMs, int box, double share) implements Effect {}

    /** The notes of a box are delayed by {@code delayMs}; 0 ends the delay. */
    record BoxNoteDelay(double atMs, int box, double delayMs) implements Effect {}

    /** This share of the set-up answers of a box is lost. */
    record BoxAnswerLoss(double atMs, int box, double share) implements Effect {}

    /** The uplink of a rack has this share of its nominal capacity. */
    record RackUplinkShare(double atMs, int rack, double share) implements Effect {}

    /** A hall becomes isolated, or an isolation ends. */
    record HallIsolation(double atMs, int hall, boolean isolated) implements Effect {}

    /** The process of a front stops. */
    record FrontStops(double atMs, int front) implements Effect {}

    /** The process of a front starts. */
    record FrontStarts(double atMs, int front) implements Effect {}

    /** The process of a front is paused or resumed. */
    record FrontPause(double atMs, int front, boolean paused) implements Effect {}
}
