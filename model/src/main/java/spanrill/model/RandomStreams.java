package spanrill.model;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Seeded random number generators and distributions. Each purpose has its own stream, so that a change in the draws
 * of one purpose does not change the draws of another.
 */
public final class RandomStreams {
    private RandomStreams() {}

    /** Creates the generator of a purpose from a seed. */
    public static UniformRandomProvider of(long seed, String purpose) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 0x9E3779B97F4A7C15L + purpose.hashCode());
    }

    /** Creates a generator from a seed. */
    public static UniformRandomProvider of(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Draws from the uniform distribution over the range from element 0 to element 1. */
    public static double uniform(UniformRandomProvider random, List<Double> range) {
        return range.get(0) + random.nextDouble() * (range.get(1) - range.get(0));
    }

    /** Draws from the exponential distribution with this mean. */
    public static double exponential(UniformRandomProvider random, double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }
}
