package spanrill.model.trouble;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.PermutationSampler;
import spanrill.model.RandomStreams;

/** Works out what a day's troubles do to whom: the same troubles, fleet and seed, the same effects. */
public final class TroublePlan {
    private static final double SLOW = 8;
    private static final double LATE_MS = 2500;
    private static final double LOST = 0.5;
    private static final double UPLINK = 0.5;
    private static final double DRAIN_MS = 4000;
    private static final double PREEMPT_MS = 1500;
    private static final double BACK_MS = 800;
    private static final int AGES = 5;

    /** How many of each there are. */
    public record FleetSize(int boxes, int racks, int halls, int fronts) {}

    private final FleetSize fleet;
    private final List<Effect> effects = new ArrayList<>();

    private TroublePlan(FleetSize fleet) {
        this.fleet = fleet;
    }

    /** All effects, in order of time. */
    public static List<Effect> computeEffects(List<Trouble> troubles, FleetSize fleet, long seed) {
        TroublePlan plan = new TroublePlan(fleet);
        for (int i = 0; i < troubles.size(); i++) {
            plan.add(troubles.get(i), RandomStreams.of(seed, "trouble" + i));
        }
        plan.effects.sort(Comparator.comparingDouble(Effect::atMs));
        return plan.effects;
    }

    private static List<Integer> some(UniformRandomProvider random, int of, double part) {
        int many = (int) Math.min(of, Math.max(1, Math.round(part * of)));
        List<Integer> chosen = new ArrayList<>();
        int[] order = PermutationSampler.natural(of);
        PermutationSampler.shuffle(random, order);
        for (int i = 0; i < many; i++) {
            chosen.add(order[i]);
        }
        return chosen;
    }

    private void add(Trouble trouble, UniformRandomProvider random) {
        double at = trouble.atMs();
        double end = at + trouble.forMs();
        List<Integer> boxes = some(random, fleet.boxes(), trouble.part());
        List<Integer> fronts = some(random, fleet.fronts(), trouble.part());
        switch (trouble.kind()) {
            case CRASH ->
                boxes.forEach(box -> {
                    effects.add(new Effect.BoxStops(at, box, "crash"));
                    effects.add(new Effect.BoxStarts(end, box, true));
                });
            case VANISH ->
                boxes.forEach(box -> {
                    effects.add(new Effect.BoxHangs(at, box));
                    effects.add(new Effect.BoxStops(end, box, "vanished"));
                    effects.add(new Effect.BoxStarts(end, box, false));
                });
            case SLOW ->
                boxes.forEach(box -> {
                    effects.add(new Effect.BoxSlowdown(at, box, SLOW));
                    effects.add(new Effect.BoxSlowdown(end, box, 1));
                });
            case SHARED_SLOW ->
                some(random, fleet.racks(), trouble.part()).forEach(rack -> {
                    effects.add(new Effect.RackUplinkShare(at, rack, UPLINK));
                    effects.add(new Effect.RackUplinkShare(end, rack, 1));
                });
            case NEIGHBOUR ->
                boxes.forEach(box -> {
                    // It takes 33 to 75 points of the link.
                    effects.add(new Effect.BoxLinkShare(at, box, 0.25 + 0.42 * random.nextDouble()));
                    effects.add(new Effect.BoxLinkShare(end, box, 1));
                });
            case REPORT_LATE ->
                boxes.forEach(box -> {
                    effects.add(new Effect.BoxNoteDelay(at, box, LATE_MS));
                    effects.add(new Effect.BoxNoteDelay(end, box, 0));
                });
            case ZONE_CUT -> {
                int hall = random.nextInt(fleet.halls());
                effects.add(new Effect.HallIsolation(at, hall, true));
                effects.add(new Effect.HallIsolation(end, hall, false));
            }
            case ANSWER_LOST ->
                boxes.forEach(box -> {
                    effects.add(new Effect.BoxAnswerLoss(at, box, LOST));
                    effects.add(new Effect.BoxAnswerLoss(end, box, 0));
                });
            case BALANCER_CRASH ->
                fronts.forEach(front -> {
                    effects.add(new Effect.FrontStops(at, front));
                    effects.add(new Effect.FrontStarts(end, front));
                });
            case BALANCER_STALL ->
                fronts.forEach(front -> {
                    effects.add(new Effect.FrontPause(at, front, true));
                    effects.add(new Effect.FrontPause(end, front, false));
                });
            case DEPLOY -> {
                for (int i = 0; i < boxes.size(); i++) {
                    replace(at + trouble.forMs() * i / boxes.size(), boxes.get(i), DRAIN_MS);
                }
            }
            case PREEMPT -> boxes.forEach(box -> replace(at, box, PREEMPT_MS));
            case AGEING ->
                boxes.forEach(box -> {
                    for (int i = 0; i < AGES; i++) {
                        effects.add(new Effect.BoxSlowdown(at + trouble.forMs() * i / AGES, box, 1 + 2 * i));
                    }
                    effects.add(new Effect.BoxSlowdown(end, box, 1));
                    effects.add(new Effect.BoxStops(end, box, "aged"));
                    effects.add(new Effect.BoxStarts(end, box, false));
                });
            // Crowds are arrivals, not effects.
            case BURST, HOT_KEY -> {}
            default -> throw new IllegalStateException("no effects for " + trouble.kind());
        }
    }

    private void replace(double at, int box, double leaveMs) {
        effects.add(new Effect.BoxDrains(at, box));
        effects.add(new Effect.BoxStops(at + leaveMs, box, "replaced"));
        effects.add(new Effect.BoxStarts(at + leaveMs + BACK_MS, box, false));
    }
}
