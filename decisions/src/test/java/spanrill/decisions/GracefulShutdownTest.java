package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import spanrill.decisions.GracefulShutdown.Step;
import spanrill.decisions.GracefulShutdown.View;

class GracefulShutdownTest {
    private static final View NOTHING = new View(0, 0, 0, false);
    private static final View CONNECTED = new View(1, 0, 0, false);
    /** Longest deadline 1 s: killed after 1.7 s. */
    private final GracefulShutdown shutdown = new GracefulShutdown(1000);

    @Test
    void servesWhileRequestsMayComeThenDrainsAndEndsWithTheLastConnection() {
        assertEquals(Step.SERVE, shutdown.nextStep(0, NOTHING));
        assertEquals(Step.SERVE, shutdown.nextStep(700, NOTHING), "what comes by then must be answered");
        assertEquals(Step.DRAIN, shutdown.nextStep(900, CONNECTED));
        assertEquals(Step.AWAIT, shutdown.nextStep(920, CONNECTED));
        assertEquals(Step.END, shutdown.nextStep(940, NOTHING));
    }

    @Test
    void waitsForConnectionsRequestsReleasesAndUnflushedBytes() {
        shutdown.nextStep(900, NOTHING);
        assertEquals(Step.AWAIT, shutdown.nextStep(920, CONNECTED));
        assertEquals(Step.AWAIT, shutdown.nextStep(1400, new View(0, 1, 0, false)));
        assertEquals(Step.AWAIT, shutdown.nextStep(1420, new View(0, 0, 1, false)));
        assertEquals(Step.AWAIT, shutdown.nextStep(1440, new View(0, 0, 0, true)));
        assertEquals(Step.END, shutdown.nextStep(1460, NOTHING));
    }

    /** Killed at 1.7 s: the last answers are given at 1.5 s, and then servers' releases wait no more. */
    @Test
    void lastAnswersAreGivenBeforeTheKill() {
        assertEquals(1500, shutdown.answerDeadlineMs());
        shutdown.nextStep(900, NOTHING);
        assertEquals(Step.AWAIT, shutdown.nextStep(1500, new View(1, 1, 1, true)));
        assertEquals(Step.END, shutdown.nextStep(1520, new View(0, 0, 1, false)));
        assertEquals(Step.END, shutdown.nextStep(1650, new View(3, 3, 3, true)), "whatever is owed");
    }

    /** "That deadline counts as 3 s where it is longer": the kill comes after 3.7 s then, not later. */
    @Test
    void longDeadlinesCountAsThreeSeconds() {
        GracefulShutdown longer = new GracefulShutdown(8000);
        assertEquals(3500, longer.answerDeadlineMs());
        longer.nextStep(900, CONNECTED);
        assertEquals(Step.AWAIT, longer.nextStep(3640, CONNECTED));
        assertEquals(Step.END, longer.nextStep(3650, CONNECTED));
    }

    /** With 200 ms the kill comes after 0.9 s: draining and the last answers come before it all the same. */
    @Test
    void shortDeadlinesDrainEarlier() {
        GracefulShutdown shorter = new GracefulShutdown(200);
        assertEquals(Step.SERVE, shorter.nextStep(590, CONNECTED));
        assertEquals(Step.DRAIN, shorter.nextStep(600, CONNECTED));
        assertEquals(700, shorter.answerDeadlineMs());
        assertEquals(Step.END, shorter.nextStep(850, CONNECTED));
    }

    /** Whatever comes: drained once, ended before the kill, and not under requests while time is left. */
    @Property(tries = 500)
    void endsBeforeTheKillAndNotUnderOpenRequests(
            @ForAll @DoubleRange(min = 100, max = 6000) double deadline,
            @ForAll @IntRange(min = 5, max = 60) int tick,
            @ForAll @Size(400) List<@IntRange(min = 0, max = 3) Integer> open) {
        GracefulShutdown any = new GracefulShutdown(deadline);
        double kill = Math.min(3000, deadline) + 700;
        int drains = 0;
        boolean ended = false;
        for (int i = 0; i < open.size() && !ended; i++) {
            double now = i * tick;
            int requests = open.get(i);
            Step step = any.nextStep(now, new View(requests, requests, 0, false));
            drains += step == Step.DRAIN ? 1 : 0;
            assertTrue(drains == 1 || step == Step.SERVE, "nothing before it drains");
            ended = step == Step.END;
            assertTrue(!ended || requests == 0 || now >= kill - 50, "an end under open requests");
            assertTrue(ended || now < kill - 50 + tick, "not ended at the kill");
        }
        assertTrue(drains <= 1);
    }
}
