package spanrill.standin.trouble;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import spanrill.day.Day;
import spanrill.model.hall.HallHealNotifier;
import spanrill.model.hall.HallNetwork;
import spanrill.model.trouble.Effect;
import spanrill.standin.box.BoxFleet;
import spanrill.standin.box.StandinBox;
import spanrill.standin.registry.Entry;
import spanrill.standin.registry.StandinRegistry;

/** Applies the effects of a day's troubles to boxes and fronts at their times. Runs on the loop of the boxes. */
public final class FaultInjector {
    private final Day day;
    private final List<Effect> effects;
    private final BoxFleet fleet;
    private final StandinRegistry registry;
    private final FrontControl fronts;
    private final HallNetwork halls;
    private final HallHealNotifier healNotifier;
    private final EventLoop loop;
    private final Consumer<String> log;

    /** Creates an injector; {@code log} receives a line for each trouble and each flash crowd as it begins. */
    public FaultInjector(
            Day day,
            List<Effect> effects,
            BoxFleet fleet,
            StandinRegistry registry,
            FrontControl fronts,
            HallHealNotifier healNotifier,
            EventLoop loop,
            Consumer<String> log) {
        this.healNotifier = healNotifier;
        this.day = day;
        this.effects = effects;
        this.fleet = fleet;
        this.registry = registry;
        this.fronts = fronts;
        this.loop = loop;
        this.log = log;
        halls = new HallNetwork(
                day.zones(), day.distances().sameMs(), day.distances().crossMs());
    }

    /** Schedules all troubles and effects; the day begins now. */
    public void start() {
        for (Day.Trouble trouble : day.troubles()) {
            schedule(trouble.atMs(), () -> log.accept(trouble.kind().name().toLowerCase(java.util.Locale.ROOT)));
        }
        for (Day.Flash flash : day.flashes()) {
            schedule(flash.atMs(), () -> log.accept("flash crowd, title " + flash.title()));
        }
        effects.forEach(effect -> schedule(effect.atMs(), () -> apply(effect)));
    }

    private void schedule(double delayMs, Runnable action) {
        loop.schedule(action, (long) (delayMs * 1000), TimeUnit.MICROSECONDS);
    }

    private void apply(Effect effect) {
        if (effect instanceof Effect.BoxStops e) {
            boolean announced = e.reason().equals("replaced");
            box(e.box()).terminate(e.reason());
            updateRegistry(
                    box(e.box()),
                    "gone",
                    announced ? day.registry().noticeMs() : day.registry().silentMs());
        } else if (effect instanceof Effect.BoxStarts e) {
            box(e.box()).start(true);
            updateRegistry(
                    box(e.box()),
                    "ready",
                    e.unannounced() ? day.registry().silentMs() : day.registry().noticeMs());
        } else if (effect instanceof Effect.BoxDrains e) {
            box(e.box()).drain();
            updateRegistry(box(e.box()), "draining", day.registry().noticeMs());
        } else if (effect instanceof Effect.BoxHangs e) {
            box(e.box()).setUnresponsive(true);
            updateRegistry(box(e.box()), "gone", day.registry().silentMs());
        } else if (effect instanceof Effect.BoxSlowdown e) {
            box(e.box()).impairments().setSetUpSlowdown(e.factor());
        } else if (effect instanceof Effect.BoxLinkShare e) {
            fleet.setLinkShare(e.box(), e.share());
        } else if (effect instanceof Effect.BoxNoteDelay e) {
            box(e.box()).impairments().setNoteDelayMs(e.delayMs());
        } else if (effect instanceof Effect.BoxAnswerLoss e) {
            box(e.box()).impairments().setLostAnswerShare(e.share());
        } else if (effect instanceof Effect.RackUplinkShare e) {
            fleet.setUplinkShare(e.rack(), e.share());
        } else if (effect instanceof Effect.HallIsolation e) {
            setHallCut(e.hall(), e.isolated());
        } else if (effect instanceof Effect.FrontStops e) {
            fronts.kill(e.front());
        } else if (effect instanceof Effect.FrontStarts e) {
            fronts.restart(e.front());
        } else if (effect instanceof Effect.FrontPause e) {
            fronts.stall(e.front(), e.paused());
        }
    }

    private StandinBox box(int number) {
        return fleet.boxes().get(number);
    }

    /** Cuts a hall off or reconnects it. Which halls reach which boxes depends on all cuts in force. */
    private void setHallCut(int hall, boolean isCut) {
        if (isCut) {
            halls.isolate(hall);
            healNotifier.onIsolated(hall);
        }
        boolean healed = !isCut && halls.heal(hall);
        for (StandinBox box : fleet.boxes()) {
            for (int from = 0; from < halls.size(); from++) {
                box.setUnreachableFrom(halls.name(from), !halls.canReach(from, halls.indexOf(box.zone())));
            }
        }
        if (healed) {
            healNotifier.onHealed(hall);
        }
    }

    private void updateRegistry(StandinBox box, String state, List<Double> delayRangeMs) {
        registry.updateBox(
                new Entry(box.id(), box.port(), box.zone(), "std", box.cell(), state, 1, box.processStartMs()),
                delayRangeMs);
    }
}
