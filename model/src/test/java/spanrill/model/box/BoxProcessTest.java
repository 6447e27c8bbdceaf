package spanrill.model.box;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import spanrill.model.RandomStreams;
import spanrill.model.box.BoxProcess.SetUpDecision;

class BoxProcessTest {
    private static final BoxParameters RULES = new BoxParameters(3, 40, 6000, 0.5, 2, 1500, 1.2);
    private final BoxProcess warm = new BoxProcess(RULES, Double.NEGATIVE_INFINITY, RandomStreams.of(1));

    @Test
    void itTurnsAwayWhatItHasNoPlaceOrLinkFor() {
        assertEquals(new SetUpDecision.Rejected("link"), warm.setUp(0, "a", 1.3, 1));
        for (String key : List.of("a", "b", "c")) {
            double ms = assertInstanceOf(SetUpDecision.Accepted.class, warm.setUp(0, key, 1.1, 2))
                    .workMs();
            assertTrue(ms >= 40 && ms <= 120, "half to one and a half of twice the work: " + ms);
        }
        assertEquals(new SetUpDecision.Rejected("places"), warm.setUp(0, "d", 0, 1));
        assertTrue(warm.finishSetUp("a"));
        assertTrue(warm.cancel("a"), "it ran");
        assertInstanceOf(SetUpDecision.Accepted.class, warm.setUp(0, "d", 0, 1));
        warm.drain();
        assertEquals(new SetUpDecision.Rejected("draining"), warm.setUp(0, "e", 0, 1));
    }

    @Test
    void whatWasCalledOffNeverBegins() {
        assertFalse(warm.cancel("early"));
        assertEquals(new SetUpDecision.AlreadyKnown(), warm.setUp(0, "early", 0, 1));
        warm.setUp(0, "a", 0, 1);
        assertEquals(new SetUpDecision.AlreadyKnown(), warm.setUp(0, "a", 0, 1), "sent twice");
        warm.onConnectionLost("a");
        assertFalse(warm.finishSetUp("a"));
        assertFalse(warm.cancel("a"), "it did not run");
        assertEquals(0, warm.inflight());
    }

    @Test
    void aColdBoxIsPushedOverAndAWarmOneIsNot() {
        BoxProcess cold = new BoxProcess(RULES, 0, RandomStreams.of(1));
        int sends = 0;
        while (!(cold.setUp(sends, "k" + sends, 0, 1) instanceof SetUpDecision.Crashes)) {
            sends++;
        }
        // Half of 3 places in 6 s, twice that over 1.5 s is 0.75; two more are borne.
        assertEquals(2, sends);
        BoxProcess later = new BoxProcess(RULES, 0, RandomStreams.of(1));
        for (int i = 0; i < 50; i++) {
            assertFalse(later.setUp(6000 + i, "k" + i, 0, 1) instanceof SetUpDecision.Crashes);
        }
    }

    /** In any order: never more than its places, and what is told as never run never ran, before or after. */
    @Property(tries = 2000, seed = "20261201")
    void itsWordHolds(@ForAll @Size(max = 60) List<@IntRange(min = 0, max = 49) Integer> steps) {
        BoxProcess box = new BoxProcess(RULES, Double.NEGATIVE_INFINITY, RandomStreams.of(2));
        Set<String> ran = new HashSet<>();
        Set<String> neverRan = new HashSet<>();
        for (int step : steps) {
            String key = "k" + step % 10;
            switch (step / 10) {
                case 0 -> box.setUp(0, key, 0, 1);
                case 1 -> {
                    if (box.finishSetUp(key)) {
                        ran.add(key);
                    }
                }
                case 2 -> box.onConnectionLost(key);
                case 3 -> box.onSessionEnded(key);
                default -> {
                    if (!box.cancel(key)) {
                        neverRan.add(key);
                    }
                }
            }
            assertTrue(box.inflight() <= 3);
        }
        neverRan.retainAll(ran);
        assertEquals(Set.of(), neverRan);
    }
}
