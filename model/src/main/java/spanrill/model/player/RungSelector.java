package spanrill.model.player;

import java.util.List;

/** Chooses the rung of the next segment. */
public interface RungSelector {
    /**
     * What a rule goes by.
     *
     * @param ladder bits a second of the rungs that are offered, rising
     * @param bufferMs media held
     * @param maxBufferMs media held at most
     * @param segmentMs length of a segment
     * @param throughputBitsPerS throughput as measured, NaN before the first segment
     */
    record State(List<Long> ladder, double bufferMs, double maxBufferMs, double segmentMs, double throughputBitsPerS) {}

    /** Index of the rung on the ladder. */
    int selectRung(State view);

    /**
     * The highest rung that a part of the throughput carries; the lowest before anything was measured. The
     * throughput is a harmonic mean, which one fast segment moves little (Jiang, Sekar and Zhang, FESTIVE,
     * CoNEXT 2012, section 4.3).
     */
    static RungSelector throughput(double part) {
        return view -> {
            int rung = 0;
            while (rung + 1 < view.ladder().size()
                    && view.ladder().get(rung + 1) <= part * orZero(view.throughputBitsPerS())) {
                rung++;
            }
            return rung;
        };
    }

    /**
     * BOLA-BASIC (Spiteri, Urgaonkar and Sitaraman, INFOCOM 2016, section IV): the rung with the largest
     * {@code (V (v + g) - Q) / S}, where Q is the buffer in segments, S the rung's size over the lowest's and
     * {@code v = 1 + ln S} its utility. V and g are set so that the lowest rung is asked up to one segment
     * held
     * and the highest at a full buffer.
     */
    static RungSelector bola() {
        return view -> {
            List<Long> ladder = view.ladder();
            double top = Math.log((double) ladder.get(ladder.size() - 1) / ladder.get(0));
            if (top <= 0) {
                return 0;
            }
            double q = view.bufferMs() / view.segmentMs();
            double g = top / (Math.max(2, view.maxBufferMs() / view.segmentMs()) - 1);
            double v = 1 / g;
            int best = 0;
            double bestScore = Double.NEGATIVE_INFINITY;
            for (int i = 0; i < ladder.size(); i++) {
                double size = (double) ladder.get(i) / ladder.get(0);
                double score = (v * (1 + Math.log(size) + g) - q) / size;
                if (score > bestScore) {
                    bestScore = score;
                    best = i;
                }
            }
            return best;
        };
    }

    private static double orZero(double value) {
        return Double.isNaN(value) ? 0 : value;
    }
}
