package spanrill.model.crowd;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.model.Draws;

/** Times of arrival of a Poisson process with a rate that varies, by thinning (Lewis and Shedler, 1979). */
public final class Arrivals {
    private Arrivals() {}

    /** Times from one to another, in order. */
    public static List<Double> times(UniformRandomProvider random, Rate rate, double fromMs, double toMs) {
        List<Double> times = new ArrayList<>();
        if (rate.peak() <= 0) {
            return times;
        }
        double mean = 1000 / rate.peak();
        // Candidates at the peak rate, kept in proportion to the rate.
        for (double t = fromMs + Draws.exponential(random, mean); t < toMs; t += Draws.exponential(random, mean)) {
            if (random.nextDouble() * rate.peak() < rate.perS(t)) {
                times.add(t);
            }
        }
        return times;
    }
}
