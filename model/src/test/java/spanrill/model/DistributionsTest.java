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
 * Compares random draws with the distributions that they should have, by Kolmogorov-Smirnov tests at the 1% level with
 * fixed seeds. Some tests also check that a slightly different distribution is rejected.
 */
class DistributionsTest {
    /** Critical value of the Kolmogorov-Smirnov statistic at the 1% level. */
    private static final double CRITICAL_VALUE = 1.628;

    /** Returns true unless the test rejects that the values are uniform on 0 to 1. */
    private static boolean isUniform(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        double maxDistance = 0;
        for (int i = 0; i < sorted.length; i++) {
            maxDistance = Math.max(
                    maxDistance,
                    Math.max((i + 1.0) / sorted.length - sorted[i], sorted[i] - (double) i / sorted.length));
        }
        return maxDistance * Math.sqrt(sorted.length) < CRITICAL_VALUE;
    }

    /**
     * Transforms the gaps of a Poisson process so that they are uniform on 0 to 1: the integral of the rate over a gap
     * is exponential with mean 1. A {@code rateFactor} other than 1 makes the assumed rate wrong.
     */
    private static double[] transformedGaps(double[] times, DoubleUnaryOperator rateIntegral, double rateFactor) {
        double[] gaps = new double[times.length];
        double before = 0;
        for (int i = 0; i < times.length; i++) {
            double now = rateIntegral.applyAsDouble(times[i]);
            gaps[i] = 1 - Math.exp(-(now - before) * rateFactor);
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
    void arrivalsFormAPoissonProcessWithTheGivenRate() {
        DoubleUnaryOperator steady = t -> 10 * t / 1000;
        assertTrue(isUniform(transformedGaps(times(ArrivalRate.constant(10), "steady"), steady, 1)));
        assertFalse(isUniform(transformedGaps(times(ArrivalRate.constant(10), "steady"), steady, 1.1)));
        double length = 90_000;
        DoubleUnaryOperator wave =
                t -> 10 * (t + 0.6 * length / (2 * Math.PI) * (1 - Math.cos(2 * Math.PI * t / length))) / 1000;
        assertTrue(isUniform(transformedGaps(times(ArrivalRate.wave(10, 0.6, length), "wave"), wave, 1)));
        assertFalse(
                isUniform(transformedGaps(times(ArrivalRate.wave(10, 0.6, length), "wave"), steady, 1)),
                "a wave does not pass as a constant rate");
        DoubleUnaryOperator flashCrowd = t -> t < 5000 ? 0 : 900 * 4 * (1 - Math.exp((5000 - t) / 4000));
        assertTrue(
                isUniform(transformedGaps(times(ArrivalRate.flashCrowd(900, 5000, 4000), "whistle"), flashCrowd, 1)));
    }

    /**
     * Simulates viewers until they leave and transforms the leaving times so that they are uniform on 0 to 1: the
     * integral of the hazard rate up to the leaving time is exponential with mean 1.
     */
    private static double[] transformedLeavingTimes(double deliveredShare, double hazardPerS) {
        return DoubleStream.iterate(0, i -> i + 1)
                .limit(4000)
                .map(i -> {
                    AbandonmentModel abandonment = new AbandonmentModel(0.75, RandomStreams.of(17 + (long) i));
                    double sum = 0;
                    double before = 0;
                    double stepMs = 10;
                    for (double t = 0; ; t += stepMs) {
                        boolean leaves = abandonment.leaves(t, deliveredShare, 0);
                        // The leaving time within a step is unknown, so it is drawn uniformly.
                        before = sum;
                        sum += t == 0
                                ? 0
                                : hazardPerS * Math.max(0, 0.75 - abandonment.smoothedDeliveredShare()) * stepMs / 1000;
                        if (leaves) {
                            double within = RandomStreams.of(91 + (long) i).nextDouble();
                            return 1 - Math.exp(-(before + within * (sum - before)));
                        }
                    }
                })
                .toArray();
    }

    @Test
    void viewersLeaveWithTheDocumentedHazardRate() {
        assertTrue(isUniform(transformedLeavingTimes(0.2, 1.5)));
        assertTrue(isUniform(transformedLeavingTimes(0.6, 1.5)));
        assertFalse(isUniform(transformedLeavingTimes(0.2, 1.3)));
    }

    @Test
    void uniformAndExponentialDrawsFollowTheirDistributions() {
        var random = RandomStreams.of(5, "x");
        assertTrue(isUniform(DoubleStream.generate(
                        () -> (RandomStreams.uniform(random, java.util.List.of(3.0, 7.0)) - 3) / 4)
                .limit(5000)
                .toArray()));
        assertTrue(isUniform(DoubleStream.generate(() -> 1 - Math.exp(-RandomStreams.exponential(random, 20) / 20))
                .limit(5000)
                .toArray()));
    }
}
