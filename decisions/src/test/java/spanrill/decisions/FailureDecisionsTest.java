package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.OutcomeTable.Stage;

/** Decisions of a front about full budgets, failed set-ups, failed segments and lost boxes. */
class FailureDecisionsTest {
    @Test
    void fullBudgetIsReportedOnceAndNotForEachConnection() {
        ConnectionBudget budget = new ConnectionBudget(10);
        for (int i = 0; i < 10; i++) {
            assertFalse(budget.becameFull());
            assertTrue(budget.tryOpen());
        }
        assertTrue(budget.becameFull());
        assertFalse(budget.tryOpen());
        assertFalse(budget.becameFull());
        budget.onClosed();
        assertTrue(budget.tryOpen());
        assertFalse(budget.becameFull(), "the number of connections stays near the limit");
        budget.onClosed();
        budget.onClosed();
        assertFalse(budget.becameFull());
        budget.tryOpen();
        budget.tryOpen();
        assertTrue(budget.becameFull());
        assertEquals(1, budget.rejected());
        ConnectionBudget empty = new ConnectionBudget(1);
        assertThrows(IllegalTransitionException.class, empty::onClosed);
    }

    @Test
    void boxIsQueriedOnlyAboutSpendingAttemptsThatMayHaveRun() {
        for (Stage stage : Stage.values()) {
            for (Outcome outcome : Outcome.values()) {
                boolean sent = stage == Stage.WRITTEN || stage == Stage.ANSWERING;
                FailedSetUpAction unpaid = FailedSetUpAction.choose(stage, outcome, false);
                assertEquals(sent && !outcome.neverRan() ? FailedSetUpAction.CANCEL : FailedSetUpAction.REPORT, unpaid);
                FailedSetUpAction paid = FailedSetUpAction.choose(stage, outcome, true);
                assertEquals(
                        stage == Stage.WRITTEN && !outcome.neverRan() ? FailedSetUpAction.QUERY_BOX : unpaid, paid);
            }
        }
    }

    @Test
    void segmentIsRetriedOnlyBeforeItsFirstByte() {
        assertEquals(
                SegmentRetryPolicy.Action.ABORT,
                SegmentRetryPolicy.decide(true, 0, 1).action());
        assertEquals(
                SegmentRetryPolicy.Action.RANGE_NOT_SATISFIABLE,
                SegmentRetryPolicy.decide(false, 416, 1).action());
        assertEquals(
                SegmentRetryPolicy.Action.RETRY,
                SegmentRetryPolicy.decide(false, 0, 2).action());
        assertTrue(SegmentRetryPolicy.decide(false, 0, 2).retryDelayMs() > 0);
        assertEquals(
                SegmentRetryPolicy.Action.GIVE_UP,
                SegmentRetryPolicy.decide(false, 0, 3).action());
        assertTrue(SegmentRetryPolicy.decide(false, 404, 1).sessionLost());
        assertTrue(SegmentRetryPolicy.decide(false, 404, 3).sessionLost());
        assertFalse(SegmentRetryPolicy.decide(false, 503, 1).sessionLost());
    }

    @Test
    void audioRateIsTakenFromTheSessionRate() {
        assertEquals(24, TrackRates.audioRate(24, 200));
        assertEquals(176, TrackRates.videoRate(200, 24));
        assertEquals(100, TrackRates.audioRate(100, 200));
        assertEquals(0, TrackRates.audioRate(101, 200), "audio would take more than half of the rate");
        assertEquals(0, TrackRates.audioRate(0, 200));
    }

    @Test
    void boxIsGoneWhenUnreachableAndRestartedWhenItsProcessChanges() {
        BoxProcessMonitor monitor = new BoxProcessMonitor(50, 2000, 1);
        assertNull(monitor.onHello(1));
        monitor.onData();
        assertEquals(
                new BoxProcessMonitor.Reaction(null, 0),
                monitor.onStreamBroken(true),
                "the stream is reopened at once");
        assertNull(monitor.onHello(1));
        assertEquals(SessionEnd.BOX_RESTARTED, monitor.onHello(2));
        assertEquals(
                new BoxProcessMonitor.Reaction(null, -1), monitor.onStreamBroken(false), "the box has no sessions");
        BoxProcessMonitor.Reaction gone = monitor.onUnreachable(true);
        assertEquals(SessionEnd.BOX_GONE, gone.lostReason());
        assertTrue(gone.reopenDelayMs() >= 25 && gone.reopenDelayMs() <= 50, gone.toString());
        assertEquals(-1, monitor.onUnreachable(false).reopenDelayMs());
    }

    @Test
    void streamThatClosesWithoutDataIsReopenedWithBackoff() {
        BoxProcessMonitor monitor = new BoxProcessMonitor(50, 2000, 1);
        monitor.onData();
        assertEquals(0, monitor.onStreamBroken(true).reopenDelayMs());
        double totalDelayMs = 0;
        for (int i = 0; i < 10; i++) {
            totalDelayMs += monitor.onStreamBroken(true).reopenDelayMs();
        }
        assertTrue(totalDelayMs > 5000, "total delay of ten retries in ms: " + totalDelayMs);
        monitor.onData();
        assertEquals(0, monitor.onStreamBroken(true).reopenDelayMs());
    }
}
