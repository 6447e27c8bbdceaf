package spanrill.model.player;

import java.util.ArrayList;
import java.util.List;

/**
 * Which front a viewer goes to: one of its hall, drawn. Viewers go on coming to a dead one until it was dead
 * for as long as they are slow to notice; then to others of the hall, then of any hall.
 */
public final class FrontSelector {
    private final int halls;
    private final double[] downSince;
    private final double leastMs;
    private final double mostMs;

    /** Fronts stand in the halls in turn; viewers notice a death after a time drawn from the range. */
    public FrontSelector(int fronts, int halls, double leastMs, double mostMs) {
        this.halls = halls;
        this.leastMs = leastMs;
        this.mostMs = mostMs;
        downSince = new double[fronts];
        java.util.Arrays.fill(downSince, Double.NaN);
    }

    /** A front died. */
    public synchronized void markDown(double now, int front) {
        downSince[front] = now;
    }

    /** A front listens. */
    public synchronized void markUp(int front) {
        downSince[front] = Double.NaN;
    }

    /** A front for a viewer of a hall; the draw is from 0 to 1. */
    public synchronized int select(double now, int hall, double draw) {
        double notice = leastMs + draw * (mostMs - leastMs);
        List<Integer> own = new ArrayList<>();
        List<Integer> others = new ArrayList<>();
        for (int i = 0; i < downSince.length; i++) {
            if (Double.isNaN(downSince[i]) || now - downSince[i] <= notice) {
                (i % halls == hall ? own : others).add(i);
            }
        }
        List<Integer> from = own.isEmpty() ? others : own;
        return from.isEmpty() ? 0 : from.get((int) Math.min(from.size() - 1, draw * from.size()));
    }
}
