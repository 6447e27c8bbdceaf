package spanrill.model.box;

/**
 * Parameters of a box.
 *
 * @param places maximum number of streams
 * @param setUpMs mean duration of a set-up on a warm box, in ms
 * @param coldMs time from the start of the process until the box is warm, in ms
 * @param coldShare speed at the start of the process, as a share of the speed when warm
 * @param fallMultiple a cold box crashes if set-ups arrive at more than this multiple of its current pace
 * @param fallMs window in which the arriving set-ups are counted, in ms
 * @param maxLinkUtilization set-ups are rejected while the requested rate on the link exceeds this multiple of the
 *     link capacity
 */
public record BoxParameters(
        double places,
        double setUpMs,
        double coldMs,
        double coldShare,
        double fallMultiple,
        double fallMs,
        double maxLinkUtilization) {
    /** Checks the ranges of the parameters. */
    public BoxParameters {
        if (!(places >= 1)
                || !(setUpMs >= 0)
                || !(coldMs >= 0)
                || !(coldShare > 0)
                || coldShare > 1
                || !(fallMultiple > 0)
                || !(fallMs > 0)
                || !(maxLinkUtilization > 0)) {
            throw new IllegalArgumentException("box parameters out of range: places >= 1, setUpMs >= 0, coldMs >= 0, "
                    + "0 < coldShare <= 1 are required, and fallMultiple, fallMs and maxLinkUtilization above 0");
        }
    }
}
