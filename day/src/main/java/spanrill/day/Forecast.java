package spanrill.day;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import spanrill.model.trouble.Effect;

/**
 * What a day would ask of its fleet, were nobody refused and did everybody stay as long as wanted, beside
 * what the fleet gives with the day's troubles on it: known before a second of it is played.
 *
 * @param steps one for each {@code stepMs} of the day
 * @param hottest the title that is asked for most
 */
public record Forecast(double stepMs, List<Step> steps, HottestTitle hottest) {
    /**
     * One step of the day: the mean over it for arrivals, the state at its end for what is wanted, and the
     * least over it for what is given.
     *
     * @param fromMs when it begins
     * @param arrivalsPerS viewers who come, a second
     * @param sessions sessions wanted at once
     * @param floorKbytesPerS their rates at their floors, kB a second
     * @param topKbytesPerS their rates at the highest rungs that they can use
     * @param places streams that boxes which run can hold
     * @param linksKbytesPerS what their links give
     * @param uplinksKbytesPerS what racks let through: their uplinks, or less where their boxes' links give less
     * @param frontsUp fronts that run
     */
    public record Step(
            double fromMs,
            double arrivalsPerS,
            int sessions,
            double floorKbytesPerS,
            double topKbytesPerS,
            double places,
            double linksKbytesPerS,
            double uplinksKbytesPerS,
            int frontsUp) {
        /**
         * What is asked at the floor over what gets through; above 1 some must be refused, whatever is done.
         */
        public double floorUtilization() {
            return uplinksKbytesPerS > 0
                    ? floorKbytesPerS / uplinksKbytesPerS
                    : sessions > 0 ? Double.POSITIVE_INFINITY : 0;
        }

        /** Sessions wanted over places. */
        public double placeUtilization() {
            return places > 0 ? sessions / places : sessions > 0 ? Double.POSITIVE_INFINITY : 0;
        }
    }

    /**
     * A title.
     *
     * @param title its number
     * @param share of all who come
     * @param maxSessions sessions of it wanted at once, at most
     * @param places streams that its holders can hold together
     */
    public record HottestTitle(int title, double share, int maxSessions, double places) {}

    /** Works a day out. */
    public static Forecast compute(Day day, long seed, double stepMs) {
        DayPlan plan = new DayPlan(day, seed);
        List<Arrival> arrivals = plan.arrivals();
        Fleet fleet = new Fleet(day, FleetPlan.of(day, seed));
        List<Effect> effects = plan.effects();
        int next = 0;
        List<Step> steps = new ArrayList<>();
        for (double from = 0; from < day.lengthMs() + day.tailMs(); from += stepMs) {
            double to = from + stepMs;
            double begin = from;
            Gives least = fleet.gives();
            while (next < effects.size() && effects.get(next).atMs() < to) {
                double at = effects.get(next).atMs();
                while (next < effects.size() && effects.get(next).atMs() == at) {
                    fleet.take(effects.get(next++));
                }
                least = least.least(fleet.gives());
            }
            int sessions = 0;
            double floor = 0;
            double top = 0;
            for (Arrival arrival : arrivals) {
                double at = arrival.atMs();
                if (at < to && at + arrival.traits().watchMs() >= to) {
                    Day.DayClass type = day.classes().get(arrival.traits().serviceClass());
                    sessions++;
                    floor += day.ladder().kb().get(type.floor()) * type.scale();
                    int highest = Math.min(
                            arrival.traits().topRung(),
                            Math.min(type.top(), day.ladder().kb().size() - 1));
                    top += day.ladder().kb().get(highest) * type.scale();
                }
            }
            long come = arrivals.stream()
                    .filter(a -> a.atMs() >= begin && a.atMs() < to)
                    .count();
            steps.add(new Step(
                    from,
                    come * 1000 / stepMs,
                    sessions,
                    floor,
                    top,
                    least.places(),
                    least.linksKb(),
                    least.throughKb(),
                    least.frontsUp()));
        }
        return new Forecast(stepMs, steps, hottest(day, plan, arrivals));
    }

    private static HottestTitle hottest(Day day, DayPlan plan, List<Arrival> arrivals) {
        int[] asked = new int[day.titles().count()];
        arrivals.forEach(a -> asked[a.traits().title()]++);
        int hot = 0;
        for (int i = 1; i < asked.length; i++) {
            hot = asked[i] > asked[hot] ? i : hot;
        }
        int title = hot;
        List<double[]> changes = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            if (arrival.traits().title() == title) {
                changes.add(new double[] {arrival.atMs(), 1});
                changes.add(new double[] {arrival.atMs() + arrival.traits().watchMs(), -1});
            }
        }
        changes.sort((a, b) -> a[0] != b[0] ? Double.compare(a[0], b[0]) : Double.compare(a[1], b[1]));
        int now = 0;
        int most = 0;
        for (double[] change : changes) {
            now += (int) change[1];
            most = Math.max(most, now);
        }
        return new HottestTitle(
                title,
                arrivals.isEmpty() ? 0 : (double) asked[title] / arrivals.size(),
                most,
                plan.titlePlacements().get(title)[1] * day.boxes().places());
    }

    /** What a fleet gives at a time. */
    private record Gives(double places, double linksKb, double throughKb, int frontsUp) {
        Gives least(Gives other) {
            return new Gives(
                    Math.min(places, other.places),
                    Math.min(linksKb, other.linksKb),
                    Math.min(throughKb, other.throughKb),
                    Math.min(frontsUp, other.frontsUp));
        }
    }

    /** What runs, and what it gives, as the troubles go on. */
    private static final class Fleet {
        private final Day day;
        private final FleetPlan plan;
        private final double[] linkShare;
        private final double[] uplinkShare;
        private final Set<Integer> boxesDown = new HashSet<>();
        private final Set<Integer> frontsDown = new HashSet<>();

        Fleet(Day day, FleetPlan plan) {
            this.day = day;
            this.plan = plan;
            linkShare = new double[plan.boxes().size()];
            uplinkShare = new double[plan.uplinksKbytesPerS().size()];
            Arrays.fill(linkShare, 1);
            Arrays.fill(uplinkShare, 1);
        }

        void take(Effect effect) {
            if (effect instanceof Effect.BoxStops e) {
                boxesDown.add(e.box());
            } else if (effect instanceof Effect.BoxHangs e) {
                boxesDown.add(e.box());
            } else if (effect instanceof Effect.BoxStarts e) {
                boxesDown.remove(e.box());
            } else if (effect instanceof Effect.BoxLinkShare e) {
                linkShare[e.box()] = e.share();
            } else if (effect instanceof Effect.RackUplinkShare e) {
                uplinkShare[e.rack()] = e.share();
            } else if (effect instanceof Effect.FrontStops e) {
                frontsDown.add(e.front());
            } else if (effect instanceof Effect.FrontStarts e) {
                frontsDown.remove(e.front());
            } else if (effect instanceof Effect.FrontPause e) {
                if (e.paused()) {
                    frontsDown.add(e.front());
                } else {
                    frontsDown.remove(e.front());
                }
            }
        }

        Gives gives() {
            return new Gives(places(), links(), through(), day.fronts() - frontsDown.size());
        }

        private double places() {
            return (plan.boxes().size() - boxesDown.size()) * day.boxes().places();
        }

        private double[] byRack() {
            double[] racks = new double[uplinkShare.length];
            for (FleetPlan.Box box : plan.boxes()) {
                if (!boxesDown.contains(box.cell())) {
                    racks[box.rack()] += box.linkKbytesPerS() * linkShare[box.cell()];
                }
            }
            return racks;
        }

        private double links() {
            return Arrays.stream(byRack()).sum();
        }

        private double through() {
            double[] racks = byRack();
            double sum = 0;
            for (int rack = 0; rack < racks.length; rack++) {
                sum += Math.min(racks[rack], plan.uplinksKbytesPerS().get(rack) * uplinkShare[rack]);
            }
            return sum;
        }
    }
}
