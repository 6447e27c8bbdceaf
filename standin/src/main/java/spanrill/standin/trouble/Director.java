package spanrill.standin.trouble;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import spanrill.day.Day;
import spanrill.model.hall.HallWatch;
import spanrill.model.hall.Halls;
import spanrill.model.trouble.Effect;
import spanrill.standin.box.BoxFleet;
import spanrill.standin.box.StandinBox;
import spanrill.standin.registry.Entry;
import spanrill.standin.registry.StandinRegistry;

/** Does the effects of a day's troubles to real boxes and fronts. On the loop of the boxes. */
public final class Director {
    private final Day day;
    private final List<Effect> effects;
    private final BoxFleet fleet;
    private final StandinRegistry registry;
    private final Fronts fronts;
    private final Halls halls;
    private final HallWatch watch;
    private final EventLoop loop;
    private final Consumer<String> say;

    /** A director that tells what it does. */
    public Director(
            Day day,
            List<Effect> effects,
            BoxFleet fleet,
            StandinRegistry registry,
            Fronts fronts,
            HallWatch watch,
            EventLoop loop,
            Consumer<String> say) {
        this.watch = watch;
        this.day = day;
        this.effects = effects;
        this.fleet = fleet;
        this.registry = registry;
        this.fronts = fronts;
        this.loop = loop;
        this.say = say;
        halls = new Halls(day.zones(), day.distances().sameMs(), day.distances().crossMs());
    }

    /** The day begins now. */
    public void start() {
        for (Day.Trouble trouble : day.troubles()) {
            later(trouble.atMs(), () -> say.accept(trouble.kind().name().toLowerCase(java.util.Locale.ROOT)));
        }
        for (Day.Flash flash : day.flashes()) {
            later(flash.atMs(), () -> say.accept("final whistle, title " + flash.title()));
        }
        effects.forEach(effect -> later(effect.atMs(), () -> run(effect)));
    }

    private void later(double ms, Runnable action) {
        loop.schedule(action, (long) (ms * 1000), TimeUnit.MICROSECONDS);
    }

    private void run(Effect effect) {
        if (effect instanceof Effect.BoxDies e) {
            boolean announced = e.why().equals("replaced");
            box(e.box()).die(e.why());
            listed(
                    box(e.box()),
                    "gone",
                    announced ? day.registry().noticeMs() : day.registry().silentMs());
        } else if (effect instanceof Effect.BoxStarts e) {
            box(e.box()).start(true);
            listed(
                    box(e.box()),
                    "ready",
                    e.silent() ? day.registry().silentMs() : day.registry().noticeMs());
        } else if (effect instanceof Effect.BoxDrains e) {
            box(e.box()).drain();
            listed(box(e.box()), "draining", day.registry().noticeMs());
        } else if (effect instanceof Effect.BoxMute e) {
            box(e.box()).mute(true);
            listed(box(e.box()), "gone", day.registry().silentMs());
        } else if (effect instanceof Effect.BoxSlow e) {
            box(e.box()).condition().slow(e.times());
        } else if (effect instanceof Effect.BoxLink e) {
            fleet.link(e.box(), e.share());
        } else if (effect instanceof Effect.BoxNotesLate e) {
            box(e.box()).condition().late(e.ms());
        } else if (effect instanceof Effect.BoxAnswersLost e) {
            box(e.box()).condition().answerLost(e.share());
        } else if (effect instanceof Effect.RackUplink e) {
            fleet.uplink(e.rack(), e.share());
        } else if (effect instanceof Effect.HallCut e) {
            cut(e.hall(), e.on());
        } else if (effect instanceof Effect.FrontDies e) {
            fronts.kill(e.front());
        } else if (effect instanceof Effect.FrontStarts e) {
            fronts.restart(e.front());
        } else if (effect instanceof Effect.FrontStalls e) {
            fronts.stall(e.front(), e.on());
        }
    }

    private StandinBox box(int number) {
        return fleet.boxes().get(number);
    }

    /** Who can't reach whom follows from all cuts that are on. */
    private void cut(int hall, boolean on) {
        if (on) {
            halls.cut(hall);
            watch.cut(hall);
        }
        boolean healed = !on && halls.heal(hall);
        for (StandinBox box : fleet.boxes()) {
            for (int from = 0; from < halls.size(); from++) {
                box.cut(halls.name(from), !halls.reach(from, halls.number(box.zone())));
            }
        }
        if (healed) {
            watch.heal(hall);
        }
    }

    private void listed(StandinBox box, String state, List<Double> late) {
        registry.change(
                new Entry(box.id(), box.port(), box.zone(), "std", box.cell(), state, 1, box.listedStart()), late);
    }
}
