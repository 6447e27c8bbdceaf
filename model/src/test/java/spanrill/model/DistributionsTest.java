package spanrill.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;
import spanrill.model.crowd.ArrivalRate;
import spanrill.model.crowd.PoissonArrivals;
import spanrill.model.player.AbandonmentModel;

/**
 * Draws against the distributions that they are stated to have, by Kolmogorov and Smirnov at a level of 1%,
 * with fixed seeds; each test is also shown to reject a distribution that is off.
 */
class DistributionsTest {
    private static final double LEVEL_1_PERCENT = 1.628;

    /** Whether values that should be uniform on 0 to 1 may be. */
    private static boolean uniform(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        double most = 0;
        for (int i = 0; i < sorted.length; i++) {
            most = Math.max(
                    most, Math.max((i + 1.0) / sorted.length - sorted[i], sorted[i] - (double) i / sorted.length));
        }
        return most * Math.sqrt(sorted.length) < LEVEL_1_PERCENT;
    }

    /**
     * Gaps of a Poisson process, each told by the rate that adds up within it, are exponential with mean 1.
     */
    private static double[] gaps(double[] times, DoubleUnaryOperator sumOfRate, double off) {
        double[] gaps = new double[times.length];
        double before = 0;
        for (int i = 0; i < times.length; i++) {
            double now = sumOfRate.applyAsDouble(times[i]);
            gaps[i] = 1 - Math.exp(-(now - before) * off);
            before = now;
        }
        return gaps;
    }

    private static double[] times(ArrivalRate rate, String purpose) {
        return PoissonArrivals.times(RandomStreams.of(11, purpose), rate, 0, 600_000).stream()
                .mapToDouble(Double::doubleValue)
                .toArray();
    }

    @Test
    void arrivalsArePoissonWithTheirRate() {
        DoubleUnaryOperator steady = t -> 10 * t / 1000;
        assertTrue(uniform(gaps(times(ArrivalRate.constant(10), "steady"), steady, 1)));
        assertFalse(uniform(gaps(times(ArrivalRate.constant(10), "steady"), steady, 1.1)));
        double length = 90_000;
        DoubleUnaryOperator wave =
                t -> 10 * (t + 0.6 * length / (2 * Math.PI) * (1 - Math.cos(2 * Math.PI * t / length))) / 1000;
        assertTrue(uniform(gaps(times(ArrivalRate.wave(10, 0.6, length), "wave"), wave, 1)));
        assertFalse(uniform(gaps(times(ArrivalRate.wave(10, 0.6, length), "wave"), steady, 1)), "the wave is seen");
        DoubleUnaryOperator whistle = t -> t < 5000 ? 0 : 900 * 4 * (1 - Math.exp((5000 - t) / 4000));
        assertTrue(uniform(gaps(times(ArrivalRate.flashCrowd(900, 5000, 4000), "whistle"), whistle, 1)));
    }

    /** The hazard adds up to an exponential with mean 1 at the time of leaving. */
    private static double[] leaving(double delivered, double hazard) {
        return DoubleStream.iterate(0, i -> i + 1)
                .limit(4000)
                .map(i -> {
                    AbandonmentModel abandonment = new AbandonmentModel(0.75, RandomStreams.of(17 + (long) i));
                    double sum = 0;
                    double before = 0;
                    double stepMs = 10;
                    for (double t = 0; ; t += stepMs) {
                        boolean leaves = abandonment.leaves(t, delivered, 0);
                        // Within its step the time of leaving is not known; it is drawn.
                        before = sum;
                        sum += t == 0 ? 0 : hazard * Math.max(0, 0.75 - abandonment.smoothedShare()) * stepMs / 1000;
                        if (leaves) {
                            double within = RandomStreams.of(91 + (long) i).nextDouble();
                            return 1 - Math.exp(-(before + within * (sum - before)));
                        }
                    }
                })
                .toArray();
    }

    @Test
    void viewersLeaveWithTheHazardStated() {
        assertTrue(uniform(leaving(0.2, 1.5)));
        assertTrue(uniform(leaving(0.6, 1.5)));
        assertFalse(uniform(leaving(0.2, 1.3)));
    }

    @Test
    void betweenIsUniformAndExponentialIsExponential() {
        var random = RandomStreams.of(5, "x");
        assertTrue(uniform(DoubleStream.generate(
                        () -> (RandomStreams.uniform(random, java.util.List.of(3.0, 7.0)) - 3) / 4)
                .limit(5000)
                .toArray()));
        assertTrue(uniform(DoubleStream.generate(() -> 1 - Math.exp(-RandomStreams.exponential(random, 20) / 20))
                .limit(5000)
                .toArray()));
    }
}
