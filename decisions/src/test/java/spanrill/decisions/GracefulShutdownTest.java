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
    /** With a longest deadline of 1 s the kill follows after 1.7 s. */
    private final GracefulShutdown shutdown = new GracefulShutdown(1000, 0);

    @Test
    void nodeServesThenDrainsAndEndsWithTheLastConnection() {
        assertEquals(Step.SERVE, shutdown.nextStep(0, NOTHING));
        assertEquals(Step.SERVE, shutdown.nextStep(700, NOTHING), "requests that arrive by then must be answered");
        assertEquals(Step.DRAIN, shutdown.nextStep(900, CONNECTED));
        shutdown.onDraining();
        assertEquals(Step.AWAIT, shutdown.nextStep(920, CONNECTED));
        assertEquals(Step.END, shutdown.nextStep(940, NOTHING));
    }

    @Test
    void drainWaitsForConnectionsRequestsReleasesAndUnflushedOutput() {
        shutdown.nextStep(900, NOTHING);
        shutdown.onDraining();
        assertEquals(Step.AWAIT, shutdown.nextStep(920, CONNECTED));
        assertEquals(Step.AWAIT, shutdown.nextStep(1400, new View(0, 1, 0, false)));
        assertEquals(Step.AWAIT, shutdown.nextStep(1420, new View(0, 0, 1, false)));
        assertEquals(Step.AWAIT, shutdown.nextStep(1440, new View(0, 0, 0, true)));
        assertEquals(Step.END, shutdown.nextStep(1460, NOTHING));
    }

    /** Kill at 1.7 s: the last answers are given at 1.5 s, and from then on releases to servers are not awaited. */
    @Test
    void lastAnswersAreGivenBeforeTheKill() {
        assertEquals(1500, shutdown.answerDeadlineMs());
        shutdown.nextStep(900, NOTHING);
        shutdown.onDraining();
        assertEquals(Step.AWAIT, shutdown.nextStep(1500, new View(1, 1, 1, true)));
        assertEquals(Step.END, shutdown.nextStep(1520, new View(0, 0, 1, false)));
        assertEquals(Step.END, shutdown.nextStep(1650, new View(3, 3, 3, true)), "even with pending answers");
    }

    /** A deadline above 3 s counts as 3 s, so the kill follows after 3.7 s. */
    @Test
    void longDeadlinesCountAsThreeSeconds() {
        GracefulShutdown longer = new GracefulShutdown(8000, 0);
        assertEquals(3500, longer.answerDeadlineMs());
        longer.nextStep(900, CONNECTED);
        longer.onDraining();
        assertEquals(Step.AWAIT, longer.nextStep(3640, CONNECTED));
        assertEquals(Step.END, longer.nextStep(3650, CONNECTED));
    }

    /** With a deadline of 200 ms the kill follows after 0.9 s; the drain and the last answers still precede it. */
    @Test
    void shortDeadlinesDrainEarlier() {
        GracefulShutdown shorter = new GracefulShutdown(200, 0);
        assertEquals(Step.SERVE, shorter.nextStep(590, CONNECTED));
        assertEquals(Step.DRAIN, shorter.nextStep(600, CONNECTED));
        shorter.onDraining();
        assertEquals(700, shorter.answerDeadlineMs());
        assertEquals(Step.END, shorter.nextStep(850, CONNECTED));
    }

    /** Guards against an end while requests lie unread, when the loop stalls as the drain is due (issue 41). */
    @Test
    void nodeDoesNotEndBeforeItsConnectionsDrain() {
        assertEquals(Step.DRAIN, shutdown.nextStep(900, NOTHING));
        assertEquals(Step.AWAIT, shutdown.nextStep(1600, NOTHING));
        shutdown.onDraining();
        assertEquals(Step.END, shutdown.nextStep(1601, NOTHING));
    }

    /** Guards against SIGKILL finding requests unanswered because SIGTERM came during a pause (issue 54). */
    @Test
    void planBeginsWithThePauseInWhichTheSignalMayHaveCome() {
        assertEquals(600, new GracefulShutdown(1000, 600).signalWaitMs());
        assertEquals(1400, new GracefulShutdown(1000, 1900).signalWaitMs(), "100 ms are left for answers");
    }

    /** The node drains once, ends before the kill, and does not end with open requests before that. */
    @Property(tries = 500)
    void nodeEndsBeforeTheKillAndNotWithOpenRequests(
            @ForAll @DoubleRange(min = 100, max = 6000) double deadlineMs,
            @ForAll @DoubleRange(min = 0, max = 4000) double pauseMs,
            @ForAll @IntRange(min = 5, max = 60) int tickMs,
            @ForAll @Size(400) List<@IntRange(min = 0, max = 3) Integer> openRequests) {
        GracefulShutdown anyDeadline = new GracefulShutdown(deadlineMs, pauseMs);
        double killMs = Math.min(3000, deadlineMs) + 700;
        int drains = 0;
        boolean ended = false;
        for (int i = 0; i < openRequests.size() && !ended; i++) {
            double now = anyDeadline.signalWaitMs() + i * tickMs;
            int requests = openRequests.get(i);
            Step step = anyDeadline.nextStep(now, new View(requests, requests, 0, false));
            if (step == Step.DRAIN) {
                drains++;
                anyDeadline.onDraining();
            }
            assertTrue(drains == 1 || step == Step.SERVE, "an action before the drain");
            ended = step == Step.END;
            assertTrue(!ended || requests == 0 || now >= killMs - 50, "ended with open requests");
            assertTrue(ended || now < killMs - 50 + tickMs, "not ended before the kill");
        }
        assertTrue(drains <= 1);
    }
}
