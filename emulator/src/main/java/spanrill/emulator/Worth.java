package spanrill.emulator;

/**
 * Worth of a day, summed over the moments looked at.
 *
 * @param looks moments
 * @param asked what all who were there would earn at their highest rungs
 * @param earned what they earned
 * @param most what no policy could beat; NaN when that was not worked out
 */
public record Worth(int looks, double asked, double earned, double most) {
    /** What was earned of what was asked. */
    public double service() {
        return asked == 0 ? 1 : earned / asked;
    }

    /** The most of what was asked that could be earned. */
    public double bound() {
        return asked == 0 ? 1 : most / asked;
    }
}
