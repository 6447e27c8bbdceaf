package spanrill.model.trouble;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class TroublePlanTest {
    private static final TroublePlan.FleetSize FLEET_SIZE = new TroublePlan.FleetSize(20, 4, 3, 5);

    private static List<Effect> effectsOf(Kind kind, long seed) {
        return TroublePlan.computeEffects(List.of(new Trouble(kind, 1000, 5000, 0.4)), FLEET_SIZE, seed);
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void effectsOfEveryKindAreOrderedByTimeAndEqualForEqualSeeds(Kind kind) {
        List<Effect> effects = effectsOf(kind, 7);
        assertEquals(effects, effectsOf(kind, 7));
        assertEquals(kind == Kind.BURST || kind == Kind.HOT_KEY, effects.isEmpty());
        double before = 1000;
        for (Effect effect : effects) {
            assertTrue(effect.atMs() >= before);
            before = effect.atMs();
        }
    }

    /** After its last effect a trouble has restarted all processes and restored all capacities and rates. */
    @ParameterizedTest
    @EnumSource(Kind.class)
    void everyKindRevertsAllItsEffects(Kind kind) {
        Map<Integer, Boolean> boxesUp = new HashMap<>();
        Map<Integer, Boolean> frontsUp = new HashMap<>();
        Map<String, Double> deviations = new HashMap<>();
        for (Effect effect : effectsOf(kind, 3)) {
            if (effect instanceof Effect.BoxStops e) {
                boxesUp.put(e.box(), false);
            } else if (effect instanceof Effect.BoxStarts e) {
                boxesUp.put(e.box(), true);
            } else if (effect instanceof Effect.BoxHangs e) {
                boxesUp.put(e.box(), false);
            } else if (effect instanceof Effect.FrontStops e) {
                frontsUp.put(e.front(), false);
            } else if (effect instanceof Effect.FrontStarts e) {
                frontsUp.put(e.front(), true);
            } else if (effect instanceof Effect.FrontPause e) {
                frontsUp.put(e.front(), !e.paused());
            } else if (effect instanceof Effect.BoxSlowdown e) {
                deviations.put("slow" + e.box(), e.factor() - 1);
            } else if (effect instanceof Effect.BoxLinkShare e) {
                deviations.put("link" + e.box(), 1 - e.share());
            } else if (effect instanceof Effect.BoxNoteDelay e) {
                deviations.put("late" + e.box(), e.delayMs());
            } else if (effect instanceof Effect.BoxAnswerLoss e) {
                deviations.put("lost" + e.box(), e.share());
            } else if (effect instanceof Effect.RackUplinkShare e) {
                deviations.put("rack" + e.rack(), 1 - e.share());
            } else if (effect instanceof Effect.HallIsolation e) {
                deviations.put("hall" + e.hall(), e.isolated() ? 1.0 : 0);
            }
        }
        assertFalse(boxesUp.containsValue(false), boxesUp.toString());
        assertFalse(frontsUp.containsValue(false), frontsUp.toString());
        deviations.forEach((target, deviation) -> assertEquals(0, deviation, target));
    }

    @Test
    void partDeterminesTheNumberOfAffectedBoxes() {
        List<Effect> effects = new ArrayList<>(effectsOf(Kind.CRASH, 1));
        effects.removeIf(e -> !(e instanceof Effect.BoxStops));
        assertEquals(8, effects.size());
    }
}
