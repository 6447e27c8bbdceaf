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
    void setUpIsRejectedWithoutFreePlaceOrLinkCapacityAndWhileDraining() {
        assertEquals(new SetUpDecision.Rejected("link"), warm.setUp(0, "a", 1.3, 1));
        for (String key : List.of("a", "b", "c")) {
            double ms = assertInstanceOf(SetUpDecision.Accepted.class, warm.setUp(0, key, 1.1, 2))
                    .workMs();
            assertTrue(ms >= 40 && ms <= 120, "50 to 150 percent of twice the mean set-up time: " + ms);
        }
        assertEquals(new SetUpDecision.Rejected("places"), warm.setUp(0, "d", 0, 1));
        assertTrue(warm.finishSetUp("a"));
        assertTrue(warm.cancel("a"), "the attempt has played");
        assertInstanceOf(SetUpDecision.Accepted.class, warm.setUp(0, "d", 0, 1));
        warm.drain();
        assertEquals(new SetUpDecision.Rejected("draining"), warm.setUp(0, "e", 0, 1));
    }

    @Test
    void cancelledAttemptNeverPlays() {
        assertFalse(warm.cancel("early"));
        assertEquals(new SetUpDecision.AlreadyKnown(), warm.setUp(0, "early", 0, 1));
        warm.setUp(0, "a", 0, 1);
        assertEquals(new SetUpDecision.AlreadyKnown(), warm.setUp(0, "a", 0, 1), "the same set-up a second time");
        warm.onConnectionLost("a");
        assertFalse(warm.finishSetUp("a"));
        assertFalse(warm.cancel("a"), "the attempt has not played");
        assertEquals(0, warm.inflight());
    }

    @Test
    void coldProcessCrashesUnderABurstOfSetUpsAndAWarmOneDoesNot() {
        BoxProcess cold = new BoxProcess(RULES, 0, RandomStreams.of(1));
        int toleratedSetUps = 0;
        while (!(cold.setUp(toleratedSetUps, "k" + toleratedSetUps, 0, 1) instanceof SetUpDecision.Crashes)) {
            toleratedSetUps++;
        }
        // Limit: 0.5 * 3 places / 6 s * multiple 2 * 1.5 s = 0.75, plus an allowance of 2 set-ups.
        assertEquals(2, toleratedSetUps);
        BoxProcess warmedUp = new BoxProcess(RULES, 0, RandomStreams.of(1));
        for (int i = 0; i < 50; i++) {
            assertFalse(warmedUp.setUp(6000 + i, "k" + i, 0, 1) instanceof SetUpDecision.Crashes);
        }
    }

    /**
     * For any order of events, a box never exceeds its places, and an attempt that it reports as never run has not
     * played before and does not play later.
     */
    @Property(tries = 2000, seed = "20261201")
    void attemptReportedAsNeverRunNeverPlays(@ForAll @Size(max = 60) List<@IntRange(min = 0, max = 49) Integer> steps) {
        BoxProcess box = new BoxProcess(RULES, Double.NEGATIVE_INFINITY, RandomStreams.of(2));
        Set<String> played = new HashSet<>();
        Set<String> reportedNeverRun = new HashSet<>();
        for (int step : steps) {
            String key = "k" + step % 10;
            switch (step / 10) {
                case 0 -> box.setUp(0, key, 0, 1);
                case 1 -> {
                    if (box.finishSetUp(key)) {
                        played.add(key);
                    }
                }
                case 2 -> box.onConnectionLost(key);
                case 3 -> box.onSessionEnded(key);
                default -> {
                    if (!box.cancel(key)) {
                        reportedNeverRun.add(key);
                    }
                }
            }
            assertTrue(box.inflight() <= 3);
        }
        reportedNeverRun.retainAll(played);
        assertEquals(Set.of(), reportedNeverRun);
    }
}
