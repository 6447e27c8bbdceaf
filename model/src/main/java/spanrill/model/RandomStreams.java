package spanrill.model;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Sources of draws: one of its own for each purpose, so that a change of one leaves the others as they
 * were.
 */
public final class RandomStreams {
    private RandomStreams() {}

    /** A source for a purpose. */
    public static UniformRandomProvider of(long seed, String purpose) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 0x9E3779B97F4A7C15L + purpose.hashCode());
    }

    /** A source from a seed of its own. */
    public static UniformRandomProvider of(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** A draw between the two ends of a range. */
    public static double uniform(UniformRandomProvider random, List<Double> range) {
        return range.get(0) + random.nextDouble() * (range.get(1) - range.get(0));
    }

    /** A draw of the exponential distribution with this mean. */
    public static double exponential(UniformRandomProvider random, double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }
}
