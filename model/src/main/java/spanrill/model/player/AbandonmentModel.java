package spanrill.model.player;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides when a viewer leaves because of bad quality. While the smoothed delivered share is below the bearable share,
 * the viewer leaves with a hazard rate proportional to the difference. The viewer always leaves if a stall is too
 * long.
 */
public final class AbandonmentModel {
    /** Hazard rate per second per unit of missing share, where 1 is the full media rate. */
    private static final double HAZARD_PER_S = 1.5;

    private static final double SMOOTHING_MS = 4000;
    private static final double MAX_STALL_MS = 8000;

    private final double minBearableShare;
    private final UniformRandomProvider random;
    private double share = 1;
    private double updatedAtMs = Double.NaN;

    /** Creates a model of a viewer who may leave while less than {@code minBearableShare} is delivered. */
    public AbandonmentModel(double minBearableShare, UniformRandomProvider random) {
        this.minBearableShare = minBearableShare;
        this.random = random;
    }

    /**
     * Evaluates the quality when a segment has arrived or is overdue.
     *
     * @param now current time in ms
     * @param deliveredShare share of the media rate that was delivered since the last call
     * @param stallMs duration of the current stall in ms, 0 if the player plays
     * @return true if the viewer leaves
     */
    public boolean leaves(double now, double deliveredShare, double stallMs) {
        double elapsedMs = Double.isNaN(updatedAtMs) ? 0 : now - updatedAtMs;
        updatedAtMs = now;
        share += (1 - Math.exp(-elapsedMs / SMOOTHING_MS)) * (Math.min(1, deliveredShare) - share);
        double hazard = HAZARD_PER_S * Math.max(0, minBearableShare - share);
        return stallMs > MAX_STALL_MS || random.nextDouble() < 1 - Math.exp(-hazard * elapsedMs / 1000);
    }

    /** Returns the smoothed share of the media rate that was delivered, 0 to 1. */
    public double smoothedDeliveredShare() {
        return share;
    }
}
