package spanrill.model.crowd;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.model.RandomStreams;

/** Arrival times of a Poisson process with a time-varying rate, by thinning (Lewis and Shedler, 1979). */
public final class PoissonArrivals {
    private PoissonArrivals() {}

    /** Returns the arrival times in ms from {@code fromMs} to {@code toMs}, in ascending order. */
    public static List<Double> times(UniformRandomProvider random, ArrivalRate rate, double fromMs, double toMs) {
        List<Double> times = new ArrayList<>();
        if (rate.peakPerS() <= 0) {
            return times;
        }
        double meanGapMs = 1000 / rate.peakPerS();
        // Candidates arrive at the peak rate; each is kept with probability rate / peak rate.
        for (double t = fromMs + RandomStreams.exponential(random, meanGapMs);
                t < toMs;
                t += RandomStreams.exponential(random, meanGapMs)) {
            if (random.nextDouble() * rate.peakPerS() < rate.perS(t)) {
                times.add(t);
            }
        }
        return times;
    }
}
