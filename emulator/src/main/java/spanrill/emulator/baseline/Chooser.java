package spanrill.emulator.baseline;

import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Which holder takes a session; {@code holders} is never empty and in order of cells. */
public enum Chooser {
    /** Any of them. */
    RANDOM {
        @Override
        Holder choose(List<Holder> holders, String title, double mean, SplittableRandom random) {
            return holders.get(random.nextInt(holders.size()));
        }
    },
    /** The one with the fewest sessions of this front (least connections). */
    FEWEST {
        @Override
        Holder choose(List<Holder> holders, String title, double mean, SplittableRandom random) {
            int least = holders.stream().mapToInt(h -> h.sessions).min().orElse(0);
            List<Holder> fewest =
                    holders.stream().filter(h -> h.sessions == least).toList();
            return fewest.get(random.nextInt(fewest.size()));
        }
    },
    /**
     * The less loaded of two drawn, by what is known of their links and this front's sessions there
     * (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, IEEE TPDS 12(10), 2001).
     */
    TWO_DRAWN {
        @Override
        Holder choose(List<Holder> holders, String title, double mean, SplittableRandom random) {
            Holder a = holders.get(random.nextInt(holders.size()));
            Holder b = holders.get(random.nextInt(holders.size()));
            return a.load() <= b.load() ? a : b;
        }
    },
    /**
     * The first in the title's own order that has no more than 1.25 times the mean of sessions (Mirrokni,
     * Thorup and Zadimoghaddam, Consistent Hashing with Bounded Loads, SODA 2018; the order is by rendezvous,
     * Thaler and Ravishankar, IEEE/ACM ToN 6(1), 1998).
     */
    HASH {
        @Override
        Holder choose(List<Holder> holders, String title, double mean, SplittableRandom random) {
            List<Holder> order = holders.stream()
                    .sorted(Comparator.comparingInt(h -> mix(title, h.id)))
                    .toList();
            double cap = Math.ceil(1.25 * (mean + 1));
            return order.stream().filter(h -> h.sessions < cap).findFirst().orElse(order.get(0));
        }
    };

    abstract Holder choose(List<Holder> holders, String title, double mean, SplittableRandom random);

    private static int mix(String title, String id) {
        long h = (title.hashCode() * 0x9E3779B97F4A7C15L) ^ (id.hashCode() * 0xC2B2AE3D27D4EB4FL);
        h = (h ^ (h >>> 29)) * 0xBF58476D1CE4E5B9L;
        return (int) (h ^ (h >>> 32));
    }
}
