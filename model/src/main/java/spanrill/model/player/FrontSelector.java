package spanrill.model.player;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects a random front for a viewer, preferably in the viewer's hall. Viewers keep using a stopped front until they
 * notice the stop; then they use other fronts of the hall, then fronts of any hall.
 *
 * <p>Thread-safe.
 */
public final class FrontSelector {
    private final int halls;
    private final double[] downSince;
    private final double minNoticeMs;
    private final double maxNoticeMs;

    /** Creates a selector of fronts that are assigned to halls round-robin; a stop is noticed after a random delay. */
    public FrontSelector(int fronts, int halls, double minNoticeMs, double maxNoticeMs) {
        this.halls = halls;
        this.minNoticeMs = minNoticeMs;
        this.maxNoticeMs = maxNoticeMs;
        downSince = new double[fronts];
        java.util.Arrays.fill(downSince, Double.NaN);
    }

    /** Records that a front stopped at time {@code now}. */
    public synchronized void markDown(double now, int front) {
        downSince[front] = now;
    }

    /** Records that a front accepts connections. */
    public synchronized void markUp(int front) {
        downSince[front] = Double.NaN;
    }

    /** Selects a front for a viewer in a hall by a random number {@code draw} from 0 to 1. */
    public synchronized int select(double now, int hall, double draw) {
        double noticeMs = minNoticeMs + draw * (maxNoticeMs - minNoticeMs);
        List<Integer> sameHall = new ArrayList<>();
        List<Integer> otherHalls = new ArrayList<>();
        for (int i = 0; i < downSince.length; i++) {
            if (Double.isNaN(downSince[i]) || now - downSince[i] <= noticeMs) {
                (i % halls == hall ? sameHall : otherHalls).add(i);
            }
        }
        List<Integer> candidates = sameHall.isEmpty() ? otherHalls : sameHall;
        return candidates.isEmpty()
                ? 0
                : candidates.get((int) Math.min(candidates.size() - 1, draw * candidates.size()));
    }
}
