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
    private static final TroublePlan.FleetSize FLEET = new TroublePlan.FleetSize(20, 4, 3, 5);

    private static List<Effect> plan(Kind kind, long seed) {
        return TroublePlan.computeEffects(List.of(new Trouble(kind, 1000, 5000, 0.4)), FLEET, seed);
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void everyKindIsOrderedEndsAndIsTheSameForASeed(Kind kind) {
        List<Effect> effects = plan(kind, 7);
        assertEquals(effects, plan(kind, 7));
        assertEquals(kind == Kind.BURST || kind == Kind.HOT_KEY, effects.isEmpty());
        double before = 1000;
        for (Effect effect : effects) {
            assertTrue(effect.atMs() >= before);
            before = effect.atMs();
        }
    }

    /** What dies starts again, what is turned on is turned off. */
    @ParameterizedTest
    @EnumSource(Kind.class)
    void nothingIsLeftBroken(Kind kind) {
        Map<Integer, Boolean> up = new HashMap<>();
        Map<Integer, Boolean> fronts = new HashMap<>();
        Map<String, Double> set = new HashMap<>();
        for (Effect effect : plan(kind, 3)) {
            if (effect instanceof Effect.BoxStops e) {
                up.put(e.box(), false);
            } else if (effect instanceof Effect.BoxStarts e) {
                up.put(e.box(), true);
            } else if (effect instanceof Effect.BoxHangs e) {
                up.put(e.box(), false);
            } else if (effect instanceof Effect.FrontStops e) {
                fronts.put(e.front(), false);
            } else if (effect instanceof Effect.FrontStarts e) {
                fronts.put(e.front(), true);
            } else if (effect instanceof Effect.FrontPause e) {
                fronts.put(e.front(), !e.paused());
            } else if (effect instanceof Effect.BoxSlowdown e) {
                set.put("slow" + e.box(), e.factor() - 1);
            } else if (effect instanceof Effect.BoxLinkShare e) {
                set.put("link" + e.box(), 1 - e.share());
            } else if (effect instanceof Effect.BoxNoteDelay e) {
                set.put("late" + e.box(), e.delayMs());
            } else if (effect instanceof Effect.BoxAnswerLoss e) {
                set.put("lost" + e.box(), e.share());
            } else if (effect instanceof Effect.RackUplinkShare e) {
                set.put("rack" + e.rack(), 1 - e.share());
            } else if (effect instanceof Effect.HallIsolation e) {
                set.put("hall" + e.hall(), e.isolated() ? 1.0 : 0);
            }
        }
        assertFalse(up.containsValue(false), up.toString());
        assertFalse(fronts.containsValue(false), fronts.toString());
        set.forEach((what, left) -> assertEquals(0, left, what));
    }

    @Test
    void thePartSaysHowMany() {
        List<Effect> effects = new ArrayList<>(plan(Kind.CRASH, 1));
        effects.removeIf(e -> !(e instanceof Effect.BoxStops));
        assertEquals(8, effects.size());
    }
}
