package spanrill.emulator;

import java.util.Arrays;

/** What a run measured beside its records. */
public final class Figures {
    long spends;
    long segments;
    double bytes;
    long rungs;
    double playedMs;
    double stalledMs;
    long stalls;
    long finished;
    long returns;
    private long asks;
    private double[] setUps = new double[1024];
    private int count;

    Figures() {}

    long nextAsk() {
        return ++asks;
    }

    void setUp(double ms) {
        if (count == setUps.length) {
            setUps = Arrays.copyOf(setUps, count * 2);
        }
        setUps[count++] = ms;
    }

    /**
     * Time from a request to "plays" that this part of those who play had at most, ms; NaN when none played.
     */
    public double setUpMs(double part) {
        double[] sorted = Arrays.copyOf(setUps, count);
        Arrays.sort(sorted);
        return count == 0 ? Double.NaN : sorted[(int) Math.max(0, Math.ceil(count * part) - 1)];
    }

    /** Share of the time that players did not stall. */
    public double delivered() {
        return playedMs + stalledMs == 0 ? 1 : playedMs / (playedMs + stalledMs);
    }

    /** Mean rung of all segments. */
    public double meanRung() {
        return rungs / Math.max(1.0, segments);
    }

    /** Set-ups that spent something. */
    public long spends() {
        return spends;
    }

    /** Segments that players got. */
    public long segments() {
        return segments;
    }

    /** Their bytes, unscaled. */
    public double bytes() {
        return bytes;
    }

    /** Stalls. */
    public long stalls() {
        return stalls;
    }

    /** Sessions played to their end. */
    public long finished() {
        return finished;
    }

    /** Requests of viewers that came again. */
    public long returns() {
        return returns;
    }
}
