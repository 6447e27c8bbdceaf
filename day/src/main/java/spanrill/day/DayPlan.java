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
 * Draws a day's titles, viewers and effects of troubles from its seed: the same day and seed, the same
 * plan.
 */
public final class DayPlan {
    private final Day day;
    private final long seed;

    /** A plan of a day, by a seed that may be another than the day's own. */
    public DayPlan(Day day, long seed) {
        this.day = day;
        this.seed = seed;
    }

    /** First cell and copies of each title. */
    public List<int[]> titlePlacements() {
        UniformRandomProvider random = RandomStreams.of(seed, "placement");
        List<int[]> placed = new ArrayList<>();
        for (int i = 0; i < day.titles().count(); i++) {
            int from = day.titles().copies().get(0);
            int copies = from + random.nextInt(day.titles().copies().get(1) - from + 1);
            placed.add(new int[] {random.nextInt(day.boxes().count()), copies});
        }
        return placed;
    }

    /** What the troubles do. */
    public List<Effect> effects() {
        return effects(day.troubles().size());
    }

    private List<Effect> effects(int first) {
        List<Trouble> troubles = day.troubles().subList(0, first).stream()
                .map(t -> new Trouble(t.kind(), t.atMs(), t.forMs(), t.part()))
                .toList();
        return TroublePlan.computeEffects(
                troubles,
                new TroublePlan.FleetSize(
                        day.boxes().count(), day.boxes().racks(), day.zones().size(), day.fronts()),
                seed);
    }

    /** On how many boxes, racks, halls or fronts a trouble acts when it begins. */
    public long initialTargetCount(int trouble) {
        double at = day.troubles().get(trouble).atMs();
        return effects(trouble + 1).stream().filter(e -> e.atMs() == at).count()
                - effects(trouble).stream().filter(e -> e.atMs() == at).count();
    }

    /** All who come, in order. */
    public List<Arrival> arrivals() {
        List<Arrival> all = new ArrayList<>();
        Day.Arrivals ordinary = day.arrivals();
        crowd(
                all,
                "arrivals",
                ordinary.shape() == Day.Shape.WAVE
                        ? ArrivalRate.wave(ordinary.perS(), ordinary.swing(), ordinary.waveMs())
                        : ArrivalRate.constant(ordinary.perS()),
                -1);
        for (int i = 0; i < day.troubles().size(); i++) {
            Day.Trouble trouble = day.troubles().get(i);
            if (trouble.kind() == Kind.BURST || trouble.kind() == Kind.HOT_KEY) {
                int hot = trouble.kind() == Kind.HOT_KEY
                        ? RandomStreams.of(seed, "hot" + i).nextInt(day.titles().count())
                        : -1;
                crowd(
                        all,
                        "crowd" + i,
                        ArrivalRate.burst(
                                ordinary.perS() * trouble.part(), trouble.atMs(), trouble.atMs() + trouble.forMs()),
                        hot);
            }
        }
        for (int i = 0; i < day.flashes().size(); i++) {
            Day.Flash flash = day.flashes().get(i);
            crowd(all, "flash" + i, ArrivalRate.flashCrowd(flash.perS(), flash.atMs(), flash.fadeMs()), flash.title());
        }
        all.sort(Comparator.comparingDouble(Arrival::atMs));
        List<Arrival> numbered = new ArrayList<>(all.size());
        all.forEach(a -> numbered.add(new Arrival(a.atMs(), numbered.size(), a.traits())));
        return numbered;
    }

    /** Adds a crowd; {@code title} -1: each for a title of its own choice. */
    private void crowd(List<Arrival> all, String purpose, ArrivalRate rate, int title) {
        UniformRandomProvider random = RandomStreams.of(seed, purpose);
        TitleSampler titles = new TitleSampler(
                RandomStreams.of(seed, purpose + " titles"),
                day.titles().count(),
                day.titles().zipf());
        for (double at : PoissonArrivals.times(random, rate, 0, day.lengthMs())) {
            all.add(new Arrival(at, 0, traits(random, title < 0 ? titles.sample() : title)));
        }
    }

    private ViewerTraits traits(UniformRandomProvider random, int title) {
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
        Day.Viewers who = day.viewers();
        int highest = day.ladder().kb().size() - 1;
        int top = random.nextDouble() < who.low() ? Math.max(type.floor(), highest / 2) : highest;
        double leaves = random.nextDouble() < who.leaves() ? 5 + random.nextDouble() * 400 : -1;
        return new ViewerTraits(
                cls,
                title,
                random.nextInt(day.zones().size()),
                RandomStreams.uniform(random, type.sessionMs()),
                top,
                type.patienceMs(),
                leaves,
                random.nextDouble() < who.doubles(),
                random.nextDouble() < who.replays(),
                random.nextDouble() < who.honour(),
                who.returns(),
                who.tries(),
                who.bearable(),
                random.nextDouble() < who.neverReads(),
                random.nextDouble() < who.bola(),
                random.nextLong());
    }
}
