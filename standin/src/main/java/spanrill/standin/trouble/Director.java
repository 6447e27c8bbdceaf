package spanrill.standin.trouble;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import spanrill.standin.box.BoxFleet;
import spanrill.standin.box.StandinBox;
import spanrill.standin.day.Day;
import spanrill.standin.registry.Entry;
import spanrill.standin.registry.StandinRegistry;

/** Does a day's troubles. On the loop of the boxes; fronts are handled by their launcher. */
public final class Director {
    private static final double DEPLOY_LEAVE_MS = 1500;
    private static final double DEPLOY_RETURN_MS = 800;

    private final Day day;
    private final BoxFleet fleet;
    private final StandinRegistry registry;
    private final Fronts fronts;
    private final EventLoop loop;
    private final long seed;
    private final Consumer<String> say;

    /** A director that tells what it does. */
    public Director(Day day, long seed, BoxFleet fleet, StandinRegistry registry, Fronts fronts,
            EventLoop loop,
            Consumer<String> say) {
        this.day = day;
        this.seed = seed;
        this.fleet = fleet;
        this.registry = registry;
        this.fronts = fronts;
        this.loop = loop;
        this.say = say;
    }

    /** The day begins now. */
    public void start() {
        for (int i = 0; i < day.troubles().size(); i++) {
            Day.Trouble trouble = day.troubles().get(i);
            Random random = new Random(seed * 31 + i);
            later(trouble.atMs(), () -> {
                say.accept(trouble.kind().name().toLowerCase(java.util.Locale.ROOT));
                begin(trouble, random);
            });
        }
    }

    private void later(double ms, Runnable action) {
        loop.schedule(action, (long) (ms * 1000), TimeUnit.MICROSECONDS);
    }

    private List<StandinBox> some(double part, Random random) {
        List<StandinBox> all = new ArrayList<>(fleet.boxes());
        Collections.shuffle(all, random);
        return all.subList(0, (int) Math.min(all.size(), Math.max(1, Math.round(part * all.size()))));
    }

    private List<Integer> someFronts(double part, Random random) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < fronts.count(); i++) {
            all.add(i);
        }
        Collections.shuffle(all, random);
        return all.subList(0, (int) Math.min(all.size(), Math.max(1, Math.round(part * all.size()))));
    }

    private void begin(Day.Trouble trouble, Random random) {
        double part = trouble.part();
        double lasts = trouble.forMs();
        switch (trouble.kind()) {
            case CRASH -> some(part, random).forEach(box -> {
                box.die("crash");
                listed(box, "gone", day.registry().silentMs());
                later(lasts, () -> comeBack(box, true));
            });
            case VANISH -> some(part, random).forEach(box -> {
                box.mute(true);
                listed(box, "gone", day.registry().silentMs());
                later(lasts, () -> {
                    box.die("vanished");
                    comeBack(box, false);
                });
            });
            case SLOW -> during(some(part, random), lasts, box -> box.condition().slow(8),
                    box -> box.condition().slow(1));
            case SHARED_SLOW -> {
                int racks = day.boxes().racks();
                for (int i = 0; i < Math.max(1, Math.round(part * racks)); i++) {
                    int rack = random.nextInt(racks);
                    fleet.uplink(rack, 0.5);
                    later(lasts, () -> fleet.uplink(rack, 1));
                }
            }
            case NEIGHBOUR -> during(some(part, random), lasts, box -> box.condition().link(0.5),
                    box -> box.condition().link(1));
            case REPORT_LATE -> during(some(part, random), lasts, box -> box.condition().late(2500),
                    box -> box.condition().late(0));
            case ZONE_CUT -> {
                String zone = day.zones().get(random.nextInt(day.zones().size()));
                during(fleet.boxes().stream().filter(box -> !box.zone().equals(zone)).toList(), lasts,
                        box -> box.cut(zone, true), box -> box.cut(zone, false));
            }
            case ANSWER_LOST -> during(some(part, random), lasts, box -> box.condition().answerLost(0.5),
                    box -> box.condition().answerLost(0));
            case BALANCER_CRASH -> someFronts(part, random).forEach(front -> {
                fronts.kill(front);
                later(lasts, () -> fronts.restart(front));
            });
            case BALANCER_STALL -> someFronts(part, random).forEach(front -> {
                fronts.stall(front, true);
                later(lasts, () -> fronts.stall(front, false));
            });
            case DEPLOY -> {
                List<StandinBox> boxes = some(part, random);
                for (int i = 0; i < boxes.size(); i++) {
                    StandinBox box = boxes.get(i);
                    later(lasts * i / boxes.size(), () -> replace(box, DEPLOY_LEAVE_MS + 2500));
                }
            }
            case PREEMPT -> some(part, random).forEach(box -> replace(box, DEPLOY_LEAVE_MS));
            case AGEING -> some(part, random).forEach(box -> age(box, lasts, 0));
            default -> { }
        }
    }

    private void during(List<StandinBox> boxes, double ms, Consumer<StandinBox> on,
            Consumer<StandinBox> off) {
        boxes.forEach(on);
        fleet.settle();
        later(ms, () -> {
            boxes.forEach(off);
            fleet.settle();
        });
    }

    /** Drains, dies, comes back cold. */
    private void replace(StandinBox box, double leaveMs) {
        box.drain();
        listed(box, "draining", day.registry().noticeMs());
        later(leaveMs, () -> {
            box.die("replaced");
            listed(box, "gone", day.registry().noticeMs());
            later(DEPLOY_RETURN_MS, () -> comeBack(box, false));
        });
    }

    private void age(StandinBox box, double lasts, int step) {
        if (step == 5) {
            box.condition().slow(1);
            box.die("aged");
            comeBack(box, false);
            return;
        }
        box.condition().slow(1 + 2 * step);
        later(lasts / 5, () -> age(box, lasts, step + 1));
    }

    private void comeBack(StandinBox box, boolean silent) {
        box.start(true);
        listed(box, "ready", silent ? day.registry().silentMs() : day.registry().noticeMs());
    }

    private void listed(StandinBox box, String state, List<Double> late) {
        registry.change(new Entry(box.id(), box.port(), box.zone(), "std", box.cell(), state, 1,
                box.listedStart()),
                late);
    }
}
