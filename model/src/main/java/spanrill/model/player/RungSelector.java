package spanrill.model.player;

import java.util.List;

/** Selects the rung of the next segment (adaptive bitrate algorithm). */
public interface RungSelector {
    /**
     * Player state that the selection depends on.
     *
     * @param ladder bit rates of the offered rungs in bits per second, ascending
     * @param bufferMs buffered media in ms
     * @param maxBufferMs maximum of buffered media in ms
     * @param segmentMs duration of a segment in ms
     * @param throughputBitsPerS measured throughput, NaN before the first segment
     */
    record State(List<Long> ladder, double bufferMs, double maxBufferMs, double segmentMs, double throughputBitsPerS) {}

    /** Returns the index of the selected rung in the ladder. */
    int selectRung(State state);

    /**
     * Returns a selector of the highest rung whose rate is at most {@code safetyFactor} times the throughput, and of
     * the lowest rung before the first measurement. The throughput is a harmonic mean, on which a single fast segment
     * has little influence (Jiang, Sekar and Zhang, FESTIVE, CoNEXT 2012, section 4.3).
     */
    static RungSelector throughput(double safetyFactor) {
        return state -> {
            int rung = 0;
            while (rung + 1 < state.ladder().size()
                    && state.ladder().get(rung + 1) <= safetyFactor * orZero(state.throughputBitsPerS())) {
                rung++;
            }
            return rung;
        };
    }

    /**
     * Returns the BOLA-BASIC selector (Spiteri, Urgaonkar and Sitaraman, INFOCOM 2016, section IV), which selects the
     * rung with the largest {@code (V (v + g) - Q) / S}. Q is the buffer level in segments, S the size of the rung
     * relative to the lowest rung and {@code v = 1 + ln S} the utility of the rung. V and g are set so that the lowest
     * rung is selected up to one buffered segment and the highest rung at a full buffer.
     */
    static RungSelector bola() {
        return state -> {
            List<Long> ladder = state.ladder();
            double maxUtility = Math.log((double) ladder.get(ladder.size() - 1) / ladder.get(0));
            if (maxUtility <= 0) {
                return 0;
            }
            double q = state.bufferMs() / state.segmentMs();
            double g = maxUtility / (Math.max(2, state.maxBufferMs() / state.segmentMs()) - 1);
            double v = 1 / g;
            int bestRung = 0;
            double bestScore = Double.NEGATIVE_INFINITY;
            for (int i = 0; i < ladder.size(); i++) {
                double size = (double) ladder.get(i) / ladder.get(0);
                double score = (v * (1 + Math.log(size) + g) - q) / size;
                if (score > bestScore) {
                    bestScore = score;
                    bestRung = i;
                }
            }
            return bestRung;
        };
    }

    private static double orZero(double value) {
        return Double.isNaN(value) ? 0 : value;
    }
}
