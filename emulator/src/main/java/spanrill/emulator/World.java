package spanrill.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.SessionControl.ServerState;
import spanrill.check.EventRecorder;
import spanrill.day.Day;
import spanrill.day.DayPlan;
import spanrill.day.FleetPlan;
import spanrill.model.hall.HallHealNotifier;
import spanrill.model.hall.HallNetwork;
import spanrill.model.link.LinkNetwork;
import spanrill.model.player.FrontSelector;
import spanrill.model.trouble.Effect;
import spanrill.session.SessionCore;
import spanrill.session.Title;
import spanrill.session.VirtualTimeScheduler;

/** All that a day has: its clock, boxes, links, list, fronts and viewers, and what goes wrong with them. */
final class World {
    /** The day begins when all fronts have had their lists for some time. */
    static final double BEGIN_MS = 10_000;

    private final Day day;
    private final Costs costs;
    private final VirtualTimeScheduler agenda = new VirtualTimeScheduler();
    private final EventRecorder tap;
    private final HallNetwork halls;
    private final HallHealNotifier watch;
    private final LinkNetwork network = new LinkNetwork();
    private final List<Box> boxes = new ArrayList<>();
    private final Map<String, Box> byId = new HashMap<>();
    private final List<Front> fronts = new ArrayList<>();
    private final Registry registry;
    private final FrontSelector choice;
    private final long[] linkBytes;
    private final long[] uplinkBytes;
    private final Figures figures = new Figures();
    private WorthMeter worth;

    World(Day day, long seed, EventRecorder tap, Costs costs, SessionCore.ModuleFactory policy) {
        this.day = day;
        this.tap = tap;
        this.costs = costs;
        halls = new HallNetwork(
                day.zones(), day.distances().sameMs(), day.distances().crossMs());
        watch = new HallHealNotifier(day.zones().size());
        FleetPlan fleet = FleetPlan.of(day, seed);
        linkBytes = fleet.boxes().stream()
                .mapToLong(box -> Math.round(box.linkKbytesPerS() * 1000))
                .toArray();
        uplinkBytes = fleet.uplinksKbytesPerS().stream()
                .mapToLong(kb -> Math.round(kb * 1000))
                .toArray();
        for (long uplink : uplinkBytes) {
            network.addRack(uplink);
        }
        registry = new Registry(this, seed, titles(day, seed));
        for (FleetPlan.Box plan : fleet.boxes()) {
            network.addBox(plan.rack(), linkBytes[plan.cell()]);
            Box box = new Box(this, plan, network, seed);
            boxes.add(box);
            byId.put(plan.id(), box);
        }
        choice = new FrontSelector(
                day.fronts(),
                day.zones().size(),
                day.viewers().frontNoticeMs().get(0),
                day.viewers().frontNoticeMs().get(1));
        for (int i = 0; i < day.fronts(); i++) {
            fronts.add(new Front(this, i, FrontPlan.of(day, fleet, i, seed), policy));
        }
    }

    private static Map<String, Title> titles(Day day, long seed) {
        Map<String, Title> titles = new HashMap<>();
        List<int[]> placed = new DayPlan(day, seed).titlePlacements();
        for (int i = 0; i < placed.size(); i++) {
            titles.put(
                    "title-" + i,
                    new Title(
                            "title-" + i,
                            placed.get(i)[0],
                            placed.get(i)[1],
                            day.titles().durationMs(),
                            day.titles().segmentLengthsMs(),
                            day.titles().audioKb(),
                            null));
        }
        return Map.copyOf(titles);
    }

    Day day() {
        return day;
    }

    Costs costs() {
        return costs;
    }

    EventRecorder tap() {
        return tap;
    }

    HallNetwork halls() {
        return halls;
    }

    HallHealNotifier watch() {
        return watch;
    }

    Registry registry() {
        return registry;
    }

    FrontSelector choice() {
        return choice;
    }

    List<Front> fronts() {
        return fronts;
    }

    List<Box> boxes() {
        return boxes;
    }

    Box box(String id) {
        return byId.get(id);
    }

    WorthMeter worth() {
        return worth;
    }

    Figures figures() {
        return figures;
    }

    double now() {
        return agenda.now();
    }

    long events() {
        return agenda.executedCount();
    }

    VirtualTimeScheduler.Entry after(double ms, Runnable action) {
        return agenda.schedule(ms, action);
    }

    private void every(double ms, Runnable action) {
        after(ms, () -> {
            action.run();
            every(ms, action);
        });
    }

    // ---- the run

    /** Plays the day to its end. */
    void play(DayPlan plan, double lookMs, boolean bound) {
        worth = new WorthMeter(this, plan, network, lookMs, bound);
        boxes.forEach(box -> {
            box.start(false);
            registry.begin(box);
        });
        fronts.forEach(Front::start);
        every(
                1000,
                () -> boxes.forEach(box -> {
                    box.tellShare();
                    box.sweep();
                }));
        every(day.notes().tellMs(), () -> boxes.forEach(Box::tellUse));
        plan.arrivals().forEach(arrival -> after(BEGIN_MS + arrival.atMs(), () -> new Viewer(this, arrival).come()));
        plan.effects().forEach(effect -> after(BEGIN_MS + effect.atMs(), () -> act(effect)));
        after(BEGIN_MS, () -> every(lookMs, worth::look));
        agenda.runUntil(BEGIN_MS + day.lengthMs() + day.tailMs());
        fronts.forEach(Front::dayOver);
        figures.spends = boxes.stream().mapToLong(Box::spends).sum();
    }

    private void act(Effect effect) {
        if (effect instanceof Effect.BoxStops e) {
            boxes.get(e.box()).die(e.reason());
            listed(e.box(), ServerState.GONE, e.reason().equals("replaced"));
        } else if (effect instanceof Effect.BoxStarts e) {
            boxes.get(e.box()).start(true);
            listed(e.box(), ServerState.READY, !e.unannounced());
        } else if (effect instanceof Effect.BoxDrains e) {
            boxes.get(e.box()).drain();
            listed(e.box(), ServerState.DRAINING, true);
        } else if (effect instanceof Effect.BoxHangs e) {
            boxes.get(e.box()).mute(true);
            listed(e.box(), ServerState.GONE, false);
        } else if (effect instanceof Effect.BoxSlowdown e) {
            boxes.get(e.box()).slow(e.factor());
        } else if (effect instanceof Effect.BoxLinkShare e) {
            network.setLinkCapacity(now(), e.box(), Math.round(linkBytes[e.box()] * e.share()));
        } else if (effect instanceof Effect.BoxNoteDelay e) {
            boxes.get(e.box()).notesLate(e.delayMs());
        } else if (effect instanceof Effect.BoxAnswerLoss e) {
            boxes.get(e.box()).answersLost(e.share());
        } else if (effect instanceof Effect.RackUplinkShare e) {
            network.setUplinkCapacity(now(), e.rack(), Math.round(uplinkBytes[e.rack()] * e.share()));
        } else if (effect instanceof Effect.HallIsolation e) {
            cut(e.hall(), e.isolated());
        } else if (effect instanceof Effect.FrontStops e) {
            choice.markDown(now(), e.front());
            fronts.get(e.front()).die();
        } else if (effect instanceof Effect.FrontStarts e) {
            after(costs.startMs(), () -> {
                fronts.get(e.front()).start();
                choice.markUp(e.front());
            });
        } else if (effect instanceof Effect.FrontPause e) {
            fronts.get(e.front()).stall(e.paused());
        }
    }

    private void listed(int box, ServerState state, boolean noticed) {
        registry.change(
                boxes.get(box),
                state,
                noticed ? day.registry().noticeMs() : day.registry().silentMs());
    }

    /** Who can't reach whom follows from all cuts that are on. */
    private void cut(int hall, boolean on) {
        if (on) {
            halls.isolate(hall);
            watch.onIsolated(hall);
        }
        boolean healed = !on && halls.heal(hall);
        for (Box box : boxes) {
            for (int from = 0; from < halls.size(); from++) {
                box.cut(from, !halls.canReach(from, box.hall()));
            }
        }
        if (healed) {
            watch.onHealed(hall);
        }
    }
}
