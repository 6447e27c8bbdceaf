package spanrill.model.crowd;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;

/** Which title a viewer wants: by rank after Zipf's law, rank 0 the most wanted. */
public final class TitleSampler {
    private final DiscreteSampler ranks;

    /** So many titles; an exponent of 0 makes all alike. */
    public TitleSampler(UniformRandomProvider random, int count, double exponent) {
        ranks = RejectionInversionZipfSampler.of(random, count, exponent);
    }

    /** A title. */
    public int sample() {
        return ranks.sample() - 1;
    }
}
