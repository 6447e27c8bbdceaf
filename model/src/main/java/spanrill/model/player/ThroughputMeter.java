package spanrill.model.player;

import java.util.ArrayDeque;

/** Harmonic mean of the throughput of the last segments. */
public final class ThroughputMeter {
    private final int window;
    private final ArrayDeque<Double> inverse = new ArrayDeque<>();

    /** Over so many segments. */
    public ThroughputMeter(int window) {
        this.window = window;
    }

    /** A segment came. */
    public void addSegment(double bits, double tookMs) {
        inverse.add(Math.max(tookMs, 0.1) / 1000 / Math.max(1, bits));
        if (inverse.size() > window) {
            inverse.poll();
        }
    }

    /** Bits a second, NaN before the first segment. */
    public double bitsPerS() {
        return inverse.isEmpty()
                ? Double.NaN
                : inverse.size()
                        / inverse.stream().mapToDouble(Double::doubleValue).sum();
    }
}
