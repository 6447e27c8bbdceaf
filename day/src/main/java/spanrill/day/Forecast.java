package spanrill.day;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import spanrill.model.trouble.Effect;

/**
 * Forecast of a day: the demand if nobody were refused and every viewer stayed as long as planned, and the capacity of
 * the fleet under the day's troubles. It is computed from the plan of the day, without a run.
 *
 * @param stepMs length of a step in ms
 * @param steps consecutive steps that cover the day
 * @param hottest the most requested title
 */
public record Forecast(double stepMs, List<Step> steps, HottestTitle hottest) {
    /**
     * One step of the day. Arrivals are the mean over the step, the demand is that at the end of the step, and the
     * capacity is the minimum during the step.
     *
     * @param fromMs start of the step, in ms from the start of the day
     * @param arrivalsPerS arriving viewers per second
     * @param sessions number of concurrent sessions demanded
     * @param floorKbytesPerS rate of these sessions at their floor rungs, in kB per second
     * @param topKbytesPerS rate of these sessions at the highest rungs that they can use, in kB per second
     * @param places maximum number of streams on the running boxes
     * @param linksKbytesPerS link capacity of the running boxes, in kB per second
     * @param uplinksKbytesPerS capacity of the racks in kB per second: per rack the uplink capacity, or the sum of the
     *     link capacities if that is lower
     * @param frontsUp number of running fronts
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
         * Returns the demand at the floor rungs divided by the rack capacity. Above 1 some viewers have to be refused
         * under any policy.
         */
        public double floorRungUtilization() {
            return uplinksKbytesPerS > 0
                    ? floorKbytesPerS / uplinksKbytesPerS
                    : sessions > 0 ? Double.POSITIVE_INFINITY : 0;
        }

        /** Returns the number of demanded sessions divided by the number of places. */
        public double placeUtilization() {
            return places > 0 ? sessions / places : sessions > 0 ? Double.POSITIVE_INFINITY : 0;
        }
    }

    /**
     * The most requested title.
     *
     * @param title number of the title
     * @param share share of all arriving viewers who request the title
     * @param maxSessions maximum number of concurrent sessions of the title
     * @param places maximum number of streams on the boxes that hold the title
     */
    public record HottestTitle(int title, double share, int maxSessions, double places) {}

    /** Computes the forecast of a day in steps of {@code stepMs}. */
    public static Forecast compute(Day day, long seed, double stepMs) {
        DayPlan plan = new DayPlan(day, seed);
        List<Arrival> arrivals = plan.arrivals();
        FleetState fleet = new FleetState(day, FleetPlan.of(day, seed));
        List<Effect> effects = plan.effects();
        int nextEffect = 0;
        List<Step> steps = new ArrayList<>();
        for (double fromMs = 0; fromMs < day.lengthMs() + day.tailMs(); fromMs += stepMs) {
            double endMs = fromMs + stepMs;
            double startMs = fromMs;
            Capacity minCapacity = fleet.capacity();
            while (nextEffect < effects.size() && effects.get(nextEffect).atMs() < endMs) {
                double atMs = effects.get(nextEffect).atMs();
                while (nextEffect < effects.size() && effects.get(nextEffect).atMs() == atMs) {
                    fleet.apply(effects.get(nextEffect++));
                }
                minCapacity = minCapacity.min(fleet.capacity());
            }
            int sessions = 0;
            double floorRate = 0;
            double topRate = 0;
            for (Arrival arrival : arrivals) {
                double arrivedMs = arrival.atMs();
                if (arrivedMs < endMs && arrivedMs + arrival.traits().watchMs() >= endMs) {
                    Day.DayClass settings = day.classes().get(arrival.traits().serviceClass());
                    sessions++;
                    floorRate += day.ladder().kb().get(settings.floor()) * settings.scale();
                    int topRung = Math.min(
                            arrival.traits().topRung(),
                            Math.min(settings.top(), day.ladder().kb().size() - 1));
                    topRate += day.ladder().kb().get(topRung) * settings.scale();
                }
            }
            long arrived = arrivals.stream()
                    .filter(arrival -> arrival.atMs() >= startMs && arrival.atMs() < endMs)
                    .count();
            steps.add(new Step(
                    fromMs,
                    arrived * 1000 / stepMs,
                    sessions,
                    floorRate,
                    topRate,
                    minCapacity.places(),
                    minCapacity.linksKbytesPerS(),
                    minCapacity.uplinksKbytesPerS(),
                    minCapacity.frontsUp()));
        }
        return new Forecast(stepMs, steps, hottest(day, plan, arrivals));
    }

    private static HottestTitle hottest(Day day, DayPlan plan, List<Arrival> arrivals) {
        int[] requests = new int[day.titles().count()];
        arrivals.forEach(arrival -> requests[arrival.traits().title()]++);
        int mostRequested = 0;
        for (int i = 1; i < requests.length; i++) {
            mostRequested = requests[i] > requests[mostRequested] ? i : mostRequested;
        }
        int title = mostRequested;
        // Each element holds a time and the change of the number of sessions at that time.
        List<double[]> changes = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            if (arrival.traits().title() == title) {
                changes.add(new double[] {arrival.atMs(), 1});
                changes.add(new double[] {arrival.atMs() + arrival.traits().watchMs(), -1});
            }
        }
        changes.sort((a, b) -> a[0] != b[0] ? Double.compare(a[0], b[0]) : Double.compare(a[1], b[1]));
        int sessions = 0;
        int maxSessions = 0;
        for (double[] change : changes) {
            sessions += (int) change[1];
            maxSessions = Math.max(maxSessions, sessions);
        }
        return new HottestTitle(
                title,
                arrivals.isEmpty() ? 0 : (double) requests[title] / arrivals.size(),
                maxSessions,
                plan.titlePlacements().get(title)[1] * day.boxes().places());
    }

    /** Capacity of a fleet at one time; rates in kB per second. */
    private record Capacity(double places, double linksKbytesPerS, double uplinksKbytesPerS, int frontsUp) {
        Capacity min(Capacity other) {
            return new Capacity(
                    Math.min(places, other.places),
                    Math.min(linksKbytesPerS, other.linksKbytesPerS),
                    Math.min(uplinksKbytesPerS, other.uplinksKbytesPerS),
                    Math.min(frontsUp, other.frontsUp));
        }
    }

    /** State of the fleet while the effects of troubles are applied in order of time. */
    private static final class FleetState {
        private final Day day;
        private final FleetPlan plan;
        private final double[] linkShare;
        private final double[] uplinkShare;
        private final Set<Integer> boxesDown = new HashSet<>();
        private final Set<Integer> frontsDown = new HashSet<>();

        FleetState(Day day, FleetPlan plan) {
            this.day = day;
            this.plan = plan;
            linkShare = new double[plan.boxes().size()];
            uplinkShare = new double[plan.uplinksKbytesPerS().size()];
            Arrays.fill(linkShare, 1);
            Arrays.fill(uplinkShare, 1);
        }

        void apply(Effect effect) {
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

        Capacity capacity() {
            return new Capacity(places(), linksKbytesPerS(), uplinksKbytesPerS(), day.fronts() - frontsDown.size());
        }

        private double places() {
            return (plan.boxes().size() - boxesDown.size()) * day.boxes().places();
        }

        /** Sums the link capacities of the running boxes of each rack. */
        private double[] linksByRack() {
            double[] racks = new double[uplinkShare.length];
            for (FleetPlan.Box box : plan.boxes()) {
                if (!boxesDown.contains(box.cell())) {
                    racks[box.rack()] += box.linkKbytesPerS() * linkShare[box.cell()];
                }
            }
            return racks;
        }

        private double linksKbytesPerS() {
            return Arrays.stream(linksByRack()).sum();
        }

        private double uplinksKbytesPerS() {
            double[] racks = linksByRack();
            double sum = 0;
            for (int rack = 0; rack < racks.length; rack++) {
                sum += Math.min(racks[rack], plan.uplinksKbytesPerS().get(rack) * uplinkShare[rack]);
            }
            return sum;
        }
    }
}
