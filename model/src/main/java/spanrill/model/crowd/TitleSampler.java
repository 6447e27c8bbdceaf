package spanrill.model.crowd;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;

/** Draws the title that a viewer requests. The popularity follows Zipf's law; title 0 is the most popular. */
public final class TitleSampler {
    private final DiscreteSampler ranks;

    /** Creates a sampler of {@code count} titles; with an exponent of 0 all titles are equally popular. */
    public TitleSampler(UniformRandomProvider random, int count, double exponent) {
        ranks = RejectionInversionZipfSampler.of(random, count, exponent);
    }

    /** Draws a title number, from 0. */
    public int sample() {
        return ranks.sample() - 1;
    }
}
