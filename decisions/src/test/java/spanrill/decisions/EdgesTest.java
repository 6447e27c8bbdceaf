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
            assertTrue(budget.opened());
        }
        assertTrue(budget.becameFull());
        assertFalse(budget.opened());
        assertFalse(budget.becameFull());
        budget.closed();
        assertTrue(budget.opened());
        assertFalse(budget.becameFull(), "it hovers at its limit");
        budget.closed();
        budget.closed();
        assertFalse(budget.becameFull());
        budget.opened();
        budget.opened();
        assertTrue(budget.becameFull());
        assertEquals(1, budget.turnedAway());
        ConnectionBudget empty = new ConnectionBudget(1);
        assertThrows(RuleFault.class, empty::closed);
    }

    @Test
    void onlyWhatSpendsAndMayHaveRunIsAskedFor() {
        for (Stage stage : Stage.values()) {
            for (Outcome outcome : Outcome.values()) {
                boolean sent = stage == Stage.WRITTEN || stage == Stage.ANSWERING;
                LostSetUp free = LostSetUp.of(stage, outcome, false);
                assertEquals(sent && !outcome.neverRan() ? LostSetUp.CALL_OFF : LostSetUp.TELL, free);
                LostSetUp paid = LostSetUp.of(stage, outcome, true);
                assertEquals(stage == Stage.WRITTEN && !outcome.neverRan() ? LostSetUp.ASK_BOX : free, paid);
            }
        }
    }

    @Test
    void aSegmentIsAskedForAgainOnlyBeforeItsFirstByte() {
        assertEquals(SegmentRetry.Act.CUT, SegmentRetry.of(true, 0, 1).act());
        assertEquals(
                SegmentRetry.Act.NO_SUCH_RANGE, SegmentRetry.of(false, 416, 1).act());
        assertEquals(SegmentRetry.Act.AGAIN, SegmentRetry.of(false, 0, 2).act());
        assertTrue(SegmentRetry.of(false, 0, 2).afterMs() > 0);
        assertEquals(SegmentRetry.Act.GIVE_UP, SegmentRetry.of(false, 0, 3).act());
        assertTrue(SegmentRetry.of(false, 404, 1).sessionLost());
        assertTrue(SegmentRetry.of(false, 404, 3).sessionLost());
        assertFalse(SegmentRetry.of(false, 503, 1).sessionLost());
    }

    @Test
    void audioComesOutOfTheSessionsRate() {
        assertEquals(24, TrackRates.audio(24, 200));
        assertEquals(176, TrackRates.video(200, 24));
        assertEquals(100, TrackRates.audio(100, 200));
        assertEquals(0, TrackRates.audio(101, 200), "it would starve the pictures");
        assertEquals(0, TrackRates.audio(0, 200));
    }

    @Test
    void aBoxIsGoneWhenNothingListensAndRestartedWhenAnotherAnswers() {
        BoxWatch watch = new BoxWatch(50, 2000, 1);
        assertNull(watch.hello(1));
        watch.told();
        assertEquals(new BoxWatch.Next(null, 0), watch.broken(true), "who answers now decides");
        assertNull(watch.hello(1));
        assertEquals(SessionEnd.BOX_RESTARTED, watch.hello(2));
        assertEquals(new BoxWatch.Next(null, -1), watch.broken(false), "nothing plays there");
        BoxWatch.Next gone = watch.unreachable(true);
        assertEquals(SessionEnd.BOX_GONE, gone.lost());
        assertTrue(gone.openAfterMs() >= 25 && gone.openAfterMs() <= 50, gone.toString());
        assertEquals(-1, watch.unreachable(false).openAfterMs());
    }

    @Test
    void aBoxThatTakesTheStreamAndClosesItIsNotAskedWithoutEnd() {
        BoxWatch watch = new BoxWatch(50, 2000, 1);
        watch.told();
        assertEquals(0, watch.broken(true).openAfterMs());
        double sum = 0;
        for (int i = 0; i < 10; i++) {
            sum += watch.broken(true).openAfterMs();
        }
        assertTrue(sum > 5000, "ten tries took " + sum);
        watch.told();
        assertEquals(0, watch.broken(true).openAfterMs());
    }
}
