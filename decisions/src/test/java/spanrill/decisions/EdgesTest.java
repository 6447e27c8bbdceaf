package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.OutcomeTable.Stage;

/** Decisions at the edges of a front: connections, lost set-ups, lost segments, boxes that may be gone. */
class EdgesTest {
    @Test
    void aFullBudgetIsToldOnceAndNotForEachConnection() {
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
        assertFalse(budget.becameFull(), "it hovers at its limit");
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
    void onlyWhatSpendsAndMayHaveRunIsAskedFor() {
        for (Stage stage : Stage.values()) {
            for (Outcome outcome : Outcome.values()) {
                boolean sent = stage == Stage.WRITTEN || stage == Stage.ANSWERING;
                FailedSetUpAction free = FailedSetUpAction.choose(stage, outcome, false);
                assertEquals(sent && !outcome.neverRan() ? FailedSetUpAction.CANCEL : FailedSetUpAction.REPORT, free);
                FailedSetUpAction paid = FailedSetUpAction.choose(stage, outcome, true);
                assertEquals(stage == Stage.WRITTEN && !outcome.neverRan() ? FailedSetUpAction.QUERY_BOX : free, paid);
            }
        }
    }

    @Test
    void aSegmentIsAskedForAgainOnlyBeforeItsFirstByte() {
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
    void audioComesOutOfTheSessionsRate() {
        assertEquals(24, TrackRates.audioRate(24, 200));
        assertEquals(176, TrackRates.videoRate(200, 24));
        assertEquals(100, TrackRates.audioRate(100, 200));
        assertEquals(0, TrackRates.audioRate(101, 200), "it would starve the pictures");
        assertEquals(0, TrackRates.audioRate(0, 200));
    }

    @Test
    void aBoxIsGoneWhenNothingListensAndRestartedWhenAnotherAnswers() {
        BoxProcessMonitor watch = new BoxProcessMonitor(50, 2000, 1);
        assertNull(watch.onHello(1));
        watch.onData();
        assertEquals(new BoxProcessMonitor.Reaction(null, 0), watch.onStreamBroken(true), "who answers now decides");
        assertNull(watch.onHello(1));
        assertEquals(SessionEnd.BOX_RESTARTED, watch.onHello(2));
        assertEquals(new BoxProcessMonitor.Reaction(null, -1), watch.onStreamBroken(false), "nothing plays there");
        BoxProcessMonitor.Reaction gone = watch.onUnreachable(true);
        assertEquals(SessionEnd.BOX_GONE, gone.lostReason());
        assertTrue(gone.reopenDelayMs() >= 25 && gone.reopenDelayMs() <= 50, gone.toString());
        assertEquals(-1, watch.onUnreachable(false).reopenDelayMs());
    }

    @Test
    void aBoxThatTakesTheStreamAndClosesItIsNotAskedWithoutEnd() {
        BoxProcessMonitor watch = new BoxProcessMonitor(50, 2000, 1);
        watch.onData();
        assertEquals(0, watch.onStreamBroken(true).reopenDelayMs());
        double sum = 0;
        for (int i = 0; i < 10; i++) {
            sum += watch.onStreamBroken(true).reopenDelayMs();
        }
        assertTrue(sum > 5000, "ten tries took " + sum);
        watch.onData();
        assertEquals(0, watch.onStreamBroken(true).reopenDelayMs());
    }
}
