package spanrill.model.crowd;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.model.RandomStreams;

/** Times of arrival of a Poisson process with a rate that varies, by thinning (Lewis and Shedler, 1979). */
public final class PoissonArrivals {
    private PoissonArrivals() {}

    /** Times from one to another, in order. */
    public static List<Double> times(UniformRandomProvider random, ArrivalRate rate, double fromMs, double toMs) {
        List<Double> times = new ArrayList<>();
        if (rate.peakPerS() <= 0) {
            return times;
        }
        double mean = 1000 / rate.peakPerS();
        // Candidates at the peak rate, kept in proportion to the rate.
        for (double t = fromMs + RandomStreams.exponential(random, mean);
                t < toMs;
                t += RandomStreams.exponential(random, mean)) {
            if (random.nextDouble() * rate.peakPerS() < rate.perS(t)) {
                times.add(t);
            }
        }
        return times;
    }
}
