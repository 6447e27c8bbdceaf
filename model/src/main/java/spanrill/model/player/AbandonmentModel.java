package spanrill.model.player;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Leaving for want of rate: while the share delivered, smoothed, is under what is bearable, a viewer
 * leaves with
 * a hazard in proportion to what is missing; and it always leaves in a stall that is too long.
 */
public final class AbandonmentModel {
    /** Hazard a second for each point (of 1) of the share that is missing. */
    private static final double HAZARD = 1.5;

    private static final double SMOOTH_MS = 4000;
    private static final double LONGEST_STALL_MS = 8000;

    private final double bearable;
    private final UniformRandomProvider random;
    private double share = 1;
    private double at = Double.NaN;

    /** Leaves under this share. */
    public AbandonmentModel(double bearable, UniformRandomProvider random) {
        this.bearable = bearable;
        this.random = random;
    }

    /**
     * A segment came, or is overdue.
     *
     * @param now time
     * @param delivered share of its rate that came since the last call
     * @param stallMs the stall at hand
     * @return true when the viewer leaves
     */
    public boolean leaves(double now, double delivered, double stallMs) {
        double passed = Double.isNaN(at) ? 0 : now - at;
        at = now;
        share += (1 - Math.exp(-passed / SMOOTH_MS)) * (Math.min(1, delivered) - share);
        double hazard = HAZARD * Math.max(0, bearable - share);
        return stallMs > LONGEST_STALL_MS || random.nextDouble() < 1 - Math.exp(-hazard * passed / 1000);
    }

    /** The share, smoothed. */
    public double smoothedShare() {
        return share;
    }
}
