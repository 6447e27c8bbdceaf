package spanrill.model.trouble;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.PermutationSampler;
import spanrill.model.RandomStreams;

/** Computes the effects of a day's troubles. The same troubles, fleet size and seed give the same effects. */
public final class TroublePlan {
    private static final double SLOWDOWN_FACTOR = 8;
    private static final double NOTE_DELAY_MS = 2500;
    private static final double LOST_ANSWER_SHARE = 0.5;
    private static final double REMAINING_UPLINK_SHARE = 0.5;
    private static final double DEPLOY_DRAIN_MS = 4000;
    private static final double PREEMPTION_NOTICE_MS = 1500;
    private static final double RESTART_MS = 800;
    private static final int AGEING_STEPS = 5;

    /** Numbers of boxes, racks, halls and fronts. */
    public record FleetSize(int boxes, int racks, int halls, int fronts) {}

    private final FleetSize fleet;
    private final List<Effect> effects = new ArrayList<>();

    private TroublePlan(FleetSize fleet) {
        this.fleet = fleet;
    }

    /** Returns the effects of all troubles, ordered by time. */
    public static List<Effect> computeEffects(List<Trouble> troubles, FleetSize fleet, long seed) {
        TroublePlan plan = new TroublePlan(fleet);
        for (int i = 0; i < troubles.size(); i++) {
            plan.add(troubles.get(i), RandomStreams.of(seed, "trouble" + i));
        }
        plan.effects.sort(Comparator.comparingDouble(Effect::atMs));
        return plan.effects;
    }

    /** Draws {@code part} of the numbers below {@code count}, but at least one. */
    private static List<Integer> sample(UniformRandomProvider random, int count, double part) {
        int size = (int) Math.min(count, Math.max(1, Math.round(part * count)));
        List<Integer> chosen = new ArrayList<>();
        int[] order = PermutationSampler.natural(count);
        PermutationSampler.shuffle(random, order);
        for (int i = 0; i < size; i++) {
            chosen.add(order[i]);
        }
        return chosen;
    }

    private void add(Trouble trouble, UniformRandomProvider random) {
        double startMs = trouble.atMs();
        double endMs = startMs + trouble.forMs();
        List<Integer> boxes = sample(random, fleet.boxes(), trouble.part());
        List<Integer> fronts = sample(random, fleet.fronts(), trouble.part());
        switch (trouble.kind()) {
            case CRASH ->
                boxes.forEach(box -> {
                    effects.add(new Effect.BoxStops(startMs, box, "crash"));
                    effects.add(new Effect.BoxStarts(endMs, box, true));
                });
            case VANISH ->
                boxes.forEach(box -> {
                    effects.add(new Effect.BoxHangs(startMs, box));
                    effects.add(new Effect.BoxStops(endMs, box, "vanished"));
                    effects.add(new Effect.BoxStarts(endMs, box, false));
                });
            case SLOW ->
                boxes.forEach(box -> {
                    effects.add(new Effect.BoxSlowdown(startMs, box, SLOWDOWN_FACTOR));
                    effects.add(new Effect.BoxSlowdown(endMs, box, 1));
                });
            case SHARED_SLOW ->
                sample(random, fleet.racks(), trouble.part()).forEach(rack -> {
                    effects.add(new Effect.RackUplinkShare(startMs, rack, REMAINING_UPLINK_SHARE));
                    effects.add(new Effect.RackUplinkShare(endMs, rack, 1));
                });
            case NEIGHBOUR ->
                boxes.forEach(box -> {
                    // The other program uses 33 to 75 percent of the link.
                    effects.add(new Effect.BoxLinkShare(startMs, box, 0.25 + 0.42 * random.nextDouble()));
                    effects.add(new Effect.BoxLinkShare(endMs, box, 1));
                });
            case REPORT_LATE ->
                boxes.forEach(box -> {
                    effects.add(new Effect.BoxNoteDelay(startMs, box, NOTE_DELAY_MS));
                    effects.add(new Effect.BoxNoteDelay(endMs, box, 0));
                });
            case ZONE_CUT -> {
                int hall = random.nextInt(fleet.halls());
                effects.add(new Effect.HallIsolation(startMs, hall, true));
                effects.add(new Effect.HallIsolation(endMs, hall, false));
            }
            case ANSWER_LOST ->
                boxes.forEach(box -> {
                    effects.add(new Effect.BoxAnswerLoss(startMs, box, LOST_ANSWER_SHARE));
                    effects.add(new Effect.BoxAnswerLoss(endMs, box, 0));
                });
            case BALANCER_CRASH ->
                fronts.forEach(front -> {
                    effects.add(new Effect.FrontStops(startMs, front));
                    effects.add(new Effect.FrontStarts(endMs, front));
                });
            case BALANCER_STALL ->
                fronts.forEach(front -> {
                    effects.add(new Effect.FrontPause(startMs, front, true));
                    effects.add(new Effect.FrontPause(endMs, front, false));
                });
            case DEPLOY -> {
                for (int i = 0; i < boxes.size(); i++) {
                    replace(startMs + trouble.forMs() * i / boxes.size(), boxes.get(i), DEPLOY_DRAIN_MS);
                }
            }
            case PREEMPT -> boxes.forEach(box -> replace(startMs, box, PREEMPTION_NOTICE_MS));
            case AGEING ->
                boxes.forEach(box -> {
                    for (int i = 0; i < AGEING_STEPS; i++) {
                        effects.add(
                                new Effect.BoxSlowdown(startMs + trouble.forMs() * i / AGEING_STEPS, box, 1 + 2 * i));
                    }
                    effects.add(new Effect.BoxSlowdown(endMs, box, 1));
                    effects.add(new Effect.BoxStops(endMs, box, "aged"));
                    effects.add(new Effect.BoxStarts(endMs, box, false));
                });
            // Additional viewers are arrivals, not effects.
            case BURST, HOT_KEY -> {}
            default -> throw new IllegalStateException("no effects are defined for trouble kind " + trouble.kind());
        }
    }

    private void replace(double startMs, int box, double drainMs) {
        effects.add(new Effect.BoxDrains(startMs, box));
        effects.add(new Effect.BoxStops(startMs + drainMs, box, "replaced"));
        effects.add(new Effect.BoxStarts(startMs + drainMs + RESTART_MS, box, false));
    }
}
