package spanrill.standin.day;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.InverseTransformDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteInverseCumulativeProbabilityFunction;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.simple.RandomSource;

/** Draws a day's arrivals and titles from its seed, before the day begins: the same day, the same plan. */
public final class Plan {
    private final Day day;
    private final long seed;

    /** A plan of a day, by a seed that may be another than the day's own. */
    public Plan(Day day, long seed) {
        this.day = day;
        this.seed = seed;
    }

    /** A source of its own for each purpose, so that a change of one draw leaves the others as they were. */
    public static UniformRandomProvider random(long seed, String purpose) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 0x9E3779B97F4A7C15L + purpose.hashCode());
    }

    /** A draw from a range given as a pair. */
    public static double between(UniformRandomProvider random, List<Double> range) {
        return range.get(0) + random.nextDouble() * (range.get(1) - range.get(0));
    }

    /** First cell and copies of each title. */
    public List<int[]> placement() {
        UniformRandomProvider random = random(seed, "placement");
        List<int[]> placed = new ArrayList<>();
        for (int i = 0; i < day.titles().count(); i++) {
            int from = day.titles().copies().get(0);
            int copies = from + random.nextInt(day.titles().copies().get(1) - from + 1);
            placed.add(new int[] {random.nextInt(day.boxes().count()), copies});
        }
        return placed;
    }

    /** All who come, in order. */
    public List<Arrival> arrivals() {
        List<Arrival> all = new ArrayList<>();
        UniformRandomProvider random = random(seed, "arrivals");
        DiscreteSampler titles = zipf(random);
        double peak = day.arrivals().perS() * (1 + day.arrivals().swing());
        // Thinning (Lewis and Shedler, 1979): candidates at the peak rate, kept in proportion to the rate.
        for (double t = step(random, peak); t < day.lengthMs(); t += step(random, peak)) {
            if (random.nextDouble() * peak < rate(t)) {
                all.add(arrival(random, t, titles.sample()));
            }
        }
        for (int i = 0; i < day.troubles().size(); i++) {
            Day.Trouble trouble = day.troubles().get(i);
            if (trouble.kind() != Day.Kind.BURST && trouble.kind() != Day.Kind.HOT_KEY) {
                continue;
            }
            UniformRandomProvider own = random(seed, "crowd" + i);
            DiscreteSampler ownTitles = zipf(own);
            int hot = own.nextInt(day.titles().count());
            double rate = day.arrivals().perS() * trouble.part();
            double end = Math.min(day.lengthMs(), trouble.atMs() + trouble.forMs());
            for (double t = trouble.atMs() + step(own, rate); t < end; t += step(own, rate)) {
                all.add(arrival(own, t, trouble.kind() == Day.Kind.HOT_KEY ? hot : ownTitles.sample()));
            }
        }
        all.sort(Comparator.comparingDouble(Arrival::atMs));
        List<Arrival> numbered = new ArrayList<>(all.size());
        for (Arrival a : all) {
            numbered.add(new Arrival(a.atMs(), numbered.size(), a.cls(), a.title(), a.zone(), a.sessionMs(),
                    a.top(),
                    a.leavesMs(), a.doubles(), a.seed()));
        }
        return numbered;
    }

    private double rate(double t) {
        double wave = day.arrivals().shape() == Day.Shape.WAVE
                ? Math.sin(2 * Math.PI * t / day.arrivals().waveMs()) : 0;
        return day.arrivals().perS() * (1 + day.arrivals().swing() * wave);
    }

    private static double step(UniformRandomProvider random, double perS) {
        return -Math.log(1 - random.nextDouble()) * 1000 / perS;
    }

    private DiscreteSampler zipf(UniformRandomProvider random) {
        int count = day.titles().count();
        double[] sums = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += Math.pow(i + 1, -day.titles().zipf());
            sums[i] = sum;
        }
        double total = sum;
        DiscreteInverseCumulativeProbabilityFunction inverse = p -> {
            int low = 0;
            int high = count - 1;
            while (low < high) {
                int middle = (low + high) / 2;
                if (sums[middle] < p * total) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            return low;
        };
        return InverseTransformDiscreteSampler.of(random, inverse);
    }

    private Arrival arrival(UniformRandomProvider random, double t, int title) {
        double draw = random.nextDouble();
        String cls = null;
        for (Map.Entry<String, Day.DayClass> entry : day.classes().entrySet()) {
            cls = entry.getKey();
            draw -= entry.getValue().share();
            if (draw < 0) {
                break;
            }
        }
        Day.DayClass type = day.classes().get(cls);
        int highest = day.ladder().kb().size() - 1;
        int top = random.nextDouble() < day.viewers().low()
                ? Math.max(type.floor(), highest / 2) : highest;
        double leaves = random.nextDouble() < day.viewers().leaves() ? 5 + random.nextDouble() * 400 : -1;
        return new Arrival(t, 0, cls, title, random.nextInt(day.zones().size()),
                between(random, type.sessionMs()), top, leaves,
                random.nextDouble() < day.viewers().doubles(), random.nextLong());
    }
}
