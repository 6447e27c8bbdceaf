package spanrill.model.player;

import java.util.ArrayDeque;

/** Harmonic mean of the throughput of the most recent segments. */
public final class ThroughputMeter {
    private final int window;
    private final ArrayDeque<Double> secondsPerBit = new ArrayDeque<>();

    /** Creates a meter over the last {@code window} segments. */
    public ThroughputMeter(int window) {
        this.window = window;
    }

    /** Adds a received segment. */
    public void addSegment(double bits, double durationMs) {
        secondsPerBit.add(Math.max(durationMs, 0.1) / 1000 / Math.max(1, bits));
        if (secondsPerBit.size() > window) {
            secondsPerBit.poll();
        }
    }

    /** Returns the throughput in bits per second, NaN before the first segment. */
    public double bitsPerS() {
        return secondsPerBit.isEmpty()
                ? Double.NaN
                : secondsPerBit.size()
                        / secondsPerBit.stream()
                                .mapToDouble(Double::doubleValue)
                                .sum();
    }
}
