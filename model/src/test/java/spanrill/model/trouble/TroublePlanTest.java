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
    private static final TroublePlan.Fleet FLEET = new TroublePlan.Fleet(20, 4, 3, 5);

    private static List<Effect> plan(Kind kind, long seed) {
        return TroublePlan.of(List.of(new Trouble(kind, 1000, 5000, 0.4)), FLEET, seed);
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
            if (effect instanceof Effect.BoxDies e) {
                up.put(e.box(), false);
            } else if (effect instanceof Effect.BoxStarts e) {
                up.put(e.box(), true);
            } else if (effect instanceof Effect.BoxMute e) {
                up.put(e.box(), false);
            } else if (effect instanceof Effect.FrontDies e) {
                fronts.put(e.front(), false);
            } else if (effect instanceof Effect.FrontStarts e) {
                fronts.put(e.front(), true);
            } else if (effect instanceof Effect.FrontStalls e) {
                fronts.put(e.front(), !e.on());
            } else if (effect instanceof Effect.BoxSlow e) {
                set.put("slow" + e.box(), e.times() - 1);
            } else if (effect instanceof Effect.BoxLink e) {
                set.put("link" + e.box(), 1 - e.share());
            } else if (effect instanceof Effect.BoxNotesLate e) {
                set.put("late" + e.box(), e.ms());
            } else if (effect instanceof Effect.BoxAnswersLost e) {
                set.put("lost" + e.box(), e.share());
            } else if (effect instanceof Effect.RackUplink e) {
                set.put("rack" + e.rack(), 1 - e.share());
            } else if (effect instanceof Effect.HallCut e) {
                set.put("hall" + e.hall(), e.on() ? 1.0 : 0);
            }
        }
        assertFalse(up.containsValue(false), up.toString());
        assertFalse(fronts.containsValue(false), fronts.toString());
        set.forEach((what, left) -> assertEquals(0, left, what));
    }

    @Test
    void thePartSaysHowMany() {
        List<Effect> effects = new ArrayList<>(plan(Kind.CRASH, 1));
        effects.removeIf(e -> !(e instanceof Effect.BoxDies));
        assertEquals(8, effects.size());
    }
}
