package spanrill.day;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.model.RandomStreams;
import spanrill.model.crowd.ArrivalRate;
import spanrill.model.crowd.PoissonArrivals;
import spanrill.model.crowd.TitleSampler;
import spanrill.model.player.ViewerTraits;
import spanrill.model.trouble.Effect;
import spanrill.model.trouble.Kind;
import spanrill.model.trouble.Trouble;
import spanrill.model.trouble.TroublePlan;

/**
 * Draws the title placements, the arrivals and the effects of troubles of a day from a seed. The same day and seed give
 * the same plan.
 */
public final class DayPlan {
    private final Day day;
    private final long seed;

    /** Creates a plan of a day; the seed may differ from the seed in the day file. */
    public DayPlan(Day day, long seed) {
        this.day = day;
        this.seed = seed;
    }

    /** Returns for each title an array of the first cell that holds the title and the number of copies. */
    public List<int[]> titlePlacements() {
        UniformRandomProvider random = RandomStreams.of(seed, "placement");
        List<int[]> placements = new ArrayList<>();
        for (int i = 0; i < day.titles().count(); i++) {
            int minCopies = day.titles().copies().get(0);
            int copies = minCopies + random.nextInt(day.titles().copies().get(1) - minCopies + 1);
            placements.add(new int[] {random.nextInt(day.boxes().count()), copies});
        }
        return placements;
    }

    /** Returns the effects of all troubles, ordered by time. */
    public List<Effect> effects() {
        return effects(day.troubles().size());
    }

    /** Returns the effects of the first {@code count} troubles. */
    private List<Effect> effects(int count) {
        List<Trouble> troubles = day.troubles().subList(0, count).stream()
                .map(trouble -> new Trouble(trouble.kind(), trouble.atMs(), trouble.forMs(), trouble.part()))
                .toList();
        return TroublePlan.computeEffects(
                troubles,
                new TroublePlan.FleetSize(
                        day.boxes().count(), day.boxes().racks(), day.zones().size(), day.fronts()),
                seed);
    }

    /** Returns the number of boxes, racks, halls or fronts that a trouble affects at its start. */
    public long initialTargetCount(int trouble) {
        double startMs = day.troubles().get(trouble).atMs();
        return effects(trouble + 1).stream()
                        .filter(effect -> effect.atMs() == startMs)
                        .count()
                - effects(trouble).stream()
                        .filter(effect -> effect.atMs() == startMs)
                        .count();
    }

    /** Returns all arrivals, ordered by time and numbered from 0. */
    public List<Arrival> arrivals() {
        List<Arrival> arrivals = new ArrayList<>();
        Day.Arrivals baseline = day.arrivals();
        addArrivals(
                arrivals,
                "arrivals",
                baseline.shape() == Day.Shape.WAVE
                        ? ArrivalRate.wave(baseline.perS(), baseline.swing(), baseline.waveMs())
                        : ArrivalRate.constant(baseline.perS()),
                -1);
        for (int i = 0; i < day.troubles().size(); i++) {
            Day.Trouble trouble = day.troubles().get(i);
            if (trouble.kind() == Kind.BURST || trouble.kind() == Kind.HOT_KEY) {
                int title = trouble.kind() == Kind.HOT_KEY
                        ? RandomStreams.of(seed, "hot" + i).nextInt(day.titles().count())
                        : -1;
                addArrivals(
                        arrivals,
                        "crowd" + i,
                        ArrivalRate.burst(
                                baseline.perS() * trouble.part(), trouble.atMs(), trouble.atMs() + trouble.forMs()),
                        title);
            }
        }
        for (int i = 0; i < day.flashes().size(); i++) {
            Day.Flash flash = day.flashes().get(i);
            addArrivals(
                    arrivals,
                    "flash" + i,
                    ArrivalRate.flashCrowd(flash.perS(), flash.atMs(), flash.fadeMs()),
                    flash.title());
        }
        arrivals.sort(Comparator.comparingDouble(Arrival::atMs));
        List<Arrival> numbered = new ArrayList<>(arrivals.size());
        arrivals.forEach(arrival -> numbered.add(new Arrival(arrival.atMs(), numbered.size(), arrival.traits())));
        return numbered;
    }

    /** Adds arrivals for one title, or for a title drawn per viewer if {@code title} is -1. */
    private void addArrivals(List<Arrival> arrivals, String purpose, ArrivalRate rate, int title) {
        UniformRandomProvider random = RandomStreams.of(seed, purpose);
        TitleSampler titles = new TitleSampler(
                RandomStreams.of(seed, purpose + " titles"),
                day.titles().count(),
                day.titles().zipf());
        for (double atMs : PoissonArrivals.times(random, rate, 0, day.lengthMs())) {
            arrivals.add(new Arrival(atMs, 0, traits(random, title < 0 ? titles.sample() : title)));
        }
    }

    private ViewerTraits traits(UniformRandomProvider random, int title) {
        double draw = random.nextDouble();
        String serviceClass = null;
        for (Map.Entry<String, Day.DayClass> entry : day.classes().entrySet()) {
            serviceClass = entry.getKey();
            draw -= entry.getValue().share();
            if (draw < 0) {
                break;
            }
        }
        Day.DayClass settings = day.classes().get(serviceClass);
        Day.Viewers viewers = day.viewers();
        int highestRung = day.ladder().kb().size() - 1;
        int topRung = random.nextDouble() < viewers.low() ? Math.max(settings.floor(), highestRung / 2) : highestRung;
        double leaveAfterMs = random.nextDouble() < viewers.leaves() ? 5 + random.nextDouble() * 400 : -1;
        return new ViewerTraits(
                serviceClass,
                title,
                random.nextInt(day.zones().size()),
                RandomStreams.uniform(random, settings.sessionMs()),
                topRung,
                settings.patienceMs(),
                leaveAfterMs,
                random.nextDouble() < viewers.doubles(),
                random.nextDouble() < viewers.replays(),
                random.nextDouble() < viewers.honour(),
                viewers.returns(),
                viewers.tries(),
                viewers.bearable(),
                random.nextDouble() < viewers.neverReads(),
                random.nextDouble() < viewers.bola(),
                random.nextLong());
    }
}
