package spanrill.model.box;

/**
 * Figures of a box.
 *
 * @param places streams that it runs at most
 * @param setUpMs mean work of a set-up, warm
 * @param coldMs it is warm after this time
 * @param coldShare its share of that at the start
 * @param fallMultiple sent more than this multiple of its present pace
 * @param fallMs over this long, a cold box falls over
 * @param maxLinkUtilization it turns away when its link is asked for more than this multiple of what it gives
 */
public record BoxParameters(
        double places,
        double setUpMs,
        double coldMs,
        double coldShare,
        double fallMultiple,
        double fallMs,
        double maxLinkUtilization) {
    /** Checks the figures. */
    public BoxParameters {
        if (!(places >= 1)
                || !(setUpMs >= 0)
                || !(coldMs >= 0)
                || !(coldShare > 0)
                || coldShare > 1
                || !(fallMultiple > 0)
                || !(fallMs > 0)
                || !(maxLinkUtilization > 0)) {
            throw new IllegalArgumentException("figures of a box are out of their range");
        }
    }
}
