package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

class PauseMonitorTest {
    private static final double INTERVAL_MS = 20;
    /** Time after the viewer's time until which an answer is late but not lost, ms. */
    private static final double LOST_AFTER_MS = 500;

    private final PauseMonitor monitor = new PauseMonitor(INTERVAL_MS);

    /** A process throttled by its CPU share reads late, while the viewer's patience already runs. */
    @Test
    void shortDelaySinceTheLastCheckIsSubtractedInFull() {
        assertEquals(1000, monitor.remainingMs(1000, 50), "no check recorded");
        assertEquals(0, monitor.onCheck(100));
        assertEquals(1000, monitor.remainingMs(1000, 115));
        assertEquals(920, monitor.remainingMs(1000, 200));
        assertEquals(80, monitor.maxWaitMs(200));
    }

    @Test
    void checksInTimeAndLatenessOfABusyLoopAreNoPause() {
        for (double now = 0; now < 1000; now += 60) {
            assertEquals(0, monitor.onCheck(now));
            assertEquals(1000, monitor.remainingMs(1000, now));
        }
    }

    /** Guards against a request getting its whole time when the check ran before the sockets were read (issue 54). */
    @Test
    void pauseCountsForWhatIsReadRightAfterIt() {
        monitor.onCheck(0);
        assertEquals(1000, monitor.onCheck(1020));
        assertEquals(1000, monitor.maxWaitMs(1021));
        assertEquals(2400, monitor.remainingMs(3000, 1021));
        monitor.onInputRead(1022);
        assertEquals(2400, monitor.remainingMs(3000, 1030));
        monitor.onCheck(1041);
        monitor.onCheck(1062);
        assertEquals(3000, monitor.remainingMs(3000, 1073), "everything that came in the pause was read");
    }

    /** Guards against requests that a busy node reads late after a pause getting their whole time (issue 54). */
    @Test
    void pauseCountsUntilItsInputIsReadHoweverLongThatTakes() {
        monitor.onCheck(0);
        monitor.onCheck(1020);
        for (double now = 1040; now <= 1400; now += 20) {
            monitor.onCheck(now);
            assertEquals(2400, monitor.remainingMs(3000, now));
        }
        monitor.onInputRead(1401);
        monitor.onCheck(1420);
        monitor.onCheck(1440);
        monitor.onCheck(1460);
        assertEquals(3000, monitor.remainingMs(3000, 1460));
    }

    /** Guards against a stop that takes a signal for new which came in a pause and was handled after its input. */
    @Test
    void signalMayHaveWaitedLongerThanInput() {
        monitor.onCheck(0);
        monitor.onCheck(1020);
        monitor.onInputRead(1025);
        for (double now = 1040; now <= 1300; now += 20) {
            monitor.onCheck(now);
        }
        assertEquals(1000, monitor.maxSignalWaitMs(1270) - monitor.maxWaitMs(1270));
        assertEquals(0, monitor.maxSignalWaitMs(1300));
    }

    /** Guards against input of the first of two pauses counting from the second, when nothing was read in between. */
    @Test
    void twoPausesWithoutACheckBetweenThemAddUp() {
        monitor.onCheck(0);
        monitor.onCheck(520);
        monitor.onCheck(1060);
        assertEquals(1020, monitor.maxWaitMs(1060));
        monitor.onCheck(1080);
        assertEquals(1020, monitor.maxWaitMs(1081));
        monitor.onInputRead(1082);
        monitor.onCheck(1100);
        monitor.onCheck(1120);
        assertEquals(1020, monitor.maxWaitMs(1120));
        monitor.onCheck(1140);
        assertEquals(0, monitor.maxWaitMs(1140));
    }

    @Test
    void slowIterationsInARowDoNotAccumulate() {
        for (double now = 0; now <= 5000; now += 100) {
            monitor.onCheck(now);
        }
        assertEquals(160, monitor.maxWaitMs(5000));
        assertEquals(900, monitor.remainingMs(1000, 5000));
    }

    /** An answer within the time that is left is not lost, even if the request came at the beginning of the pause. */
    @Property(tries = 500)
    void answerWithinTheTimeLeftIsNeverLost(
            @ForAll @DoubleRange(min = 50, max = 4000) double pauseMs,
            @ForAll @DoubleRange(min = 100, max = 6000) double waitMs,
            @ForAll @DoubleRange(min = 0, max = 19) double readAfterMs) {
        monitor.onCheck(0);
        double resumedAt = INTERVAL_MS + pauseMs;
        monitor.onCheck(resumedAt);
        double readAt = resumedAt + readAfterMs;
        double remainingMs = monitor.remainingMs(waitMs, readAt);
        double sentAt = INTERVAL_MS;
        assertTrue(remainingMs <= waitMs);
        assertTrue(remainingMs < 1 || readAt + remainingMs <= sentAt + waitMs + LOST_AFTER_MS);
    }
}
