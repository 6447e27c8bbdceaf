package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.ConnectionEviction.Brought;
import spanrill.decisions.ConnectionSelector.Link;
import spanrill.decisions.FailureDetector.Step;

/** The choices that a front node makes itself. */
class NodeChoicesTest {
    @Test
    void aSetUpGetsAConnectionOfItsOwnWhileThereIsRoom() {
        ConnectionSelector choice = new ConnectionSelector(5000, 2);
        Link busy = new Link(1, 0, true);
        assertEquals(ConnectionSelector.NEW, choice.choose(List.of(), true));
        assertEquals(ConnectionSelector.NEW, choice.choose(List.of(busy), true));
        assertEquals(1, choice.choose(List.of(busy, new Link(0, 100, true), new Link(0, 900, true)), true));
        assertEquals(0, choice.choose(List.of(busy, new Link(2, 0, true)), false));
        assertEquals(ConnectionSelector.NONE, choice.choose(List.of(new Link(2, 0, true)), false));
    }

    /** One idle for long may be closing at the other end; one that was spoilt tells nothing. */
    @Test
    void idleAndSpoiltConnectionsTakeNothing() {
        ConnectionSelector choice = new ConnectionSelector(5000, 2);
        List<Link> links = List.of(new Link(0, 5001, true), new Link(0, 0, false));
        assertEquals(ConnectionSelector.NEW, choice.choose(links, true));
        assertEquals(ConnectionSelector.NONE, choice.choose(links, false));
    }

    @Test
    void aSilentServerIsTestedThenTriedThenGone() {
        FailureDetector watch = new FailureDetector(3000, 250);
        watch.heard(0);
        assertEquals(Step.NONE, watch.look(2999));
        assertEquals(Step.TEST, watch.look(3000));
        assertEquals(Step.NONE, watch.look(3100));
        assertEquals(Step.CONNECT, watch.look(3250));
        assertEquals(Step.NONE, watch.look(3500));
        assertEquals(Step.CONNECT, watch.look(3750));
        assertEquals(Step.CONNECT, watch.look(4250));
        assertEquals(Step.GONE, watch.look(4750), "well within 8 s of its end");
    }

    /**
     * Seen: a server died, its process refused connections, and one old connection stayed open and silent.
     */
    @Test
    void aRefusedConnectionMeansGoneUnlessAnOlderOneStillTells() {
        FailureDetector watch = new FailureDetector(3000, 250);
        watch.heard(0);
        assertTrue(watch.refused(10, false));
        assertFalse(watch.refused(10, true));
        assertTrue(watch.refused(600, true));
    }

    @Test
    void anythingHeardEndsTheSuspicion() {
        FailureDetector watch = new FailureDetector(3000, 250);
        watch.heard(0);
        watch.look(3000);
        watch.look(3300);
        watch.look(3900);
        watch.look(4500);
        watch.heard(4600);
        assertEquals(Step.NONE, watch.look(7500));
        assertEquals(Step.TEST, watch.look(7600), "from the beginning");
    }

    @Test
    void theBulletinIsAskedAgainWellWithinWhatCountsAsTold() {
        WatchRetryPolicy watch = new WatchRetryPolicy(7);
        watch.asked(0);
        watch.heard(10);
        assertFalse(watch.due(2000), "comments come each second");
        assertTrue(watch.due(2300), "a stop counts as told after 4 s");
        watch.asked(2300);
        watch.heard(2310);
        watch.broken(2400);
        assertTrue(watch.due(2500), "a break counts as told after 2 s");
        watch.asked(3000);
        for (int i = 0; i < 20; i++) {
            watch.broken(3000);
            assertTrue(watch.due(3600), "however often it fails");
            watch.asked(3000);
        }
        assertTrue(watch.due(4500), "an answer that stays out");
    }

    /** A process held back by its share of a core reads late: the viewer's wait has run on meanwhile. */
    @Test
    void timeThatBytesLayUnreadIsTakenOffTheWait() {
        ReceiveDelayEstimator unread = new ReceiveDelayEstimator(20);
        assertEquals(0, unread.at(50), "not known yet");
        unread.round(100);
        assertEquals(0, unread.at(115));
        assertEquals(80, unread.at(200));
        unread.round(201);
        assertEquals(0, unread.at(202));
    }

    @Test
    void whoBroughtNothingMakesRoomFirstAndWhoWaitsNever() {
        ConnectionEviction.Held waits = new ConnectionEviction.Held(1, 0, Brought.NOTHING, 9000);
        ConnectionEviction.Held stands = new ConnectionEviction.Held(0, 1, Brought.SERVICE, 9000);
        ConnectionEviction.Held idle = new ConnectionEviction.Held(0, 0, Brought.SERVICE, 5000);
        ConnectionEviction.Held recent = new ConnectionEviction.Held(0, 0, Brought.SERVICE, 50);
        ConnectionEviction.Held tested = new ConnectionEviction.Held(0, 0, Brought.LITTLE, 100);
        ConnectionEviction.Held testedLongAgo = new ConnectionEviction.Held(0, 0, Brought.LITTLE, 8000);
        ConnectionEviction.Held silent = new ConnectionEviction.Held(0, 0, Brought.NOTHING, 300);
        ConnectionEviction.Held young = new ConnectionEviction.Held(0, 0, Brought.NOTHING, 299);
        List<ConnectionEviction.Held> all =
                new ArrayList<>(List.of(waits, stands, young, idle, recent, tested, testedLongAgo, silent));
        for (ConnectionEviction.Held next : List.of(silent, testedLongAgo, tested, idle, young)) {
            int chosen = ConnectionEviction.toClose(all);
            assertEquals(next, all.get(chosen));
            all.remove(chosen);
        }
        assertEquals(ConnectionEviction.NONE, ConnectionEviction.toClose(all), "the last that may tell, waits, stands");
    }

    @Test
    void whatIsOwedGoesWhereSomethingUsefulCameLastAndThenElsewhere() {
        List<ConnectionEviction.Way> ways = List.of(
                new ConnectionEviction.Way(true, 5),
                new ConnectionEviction.Way(false, 9),
                new ConnectionEviction.Way(true, 7));
        assertEquals(2, ConnectionEviction.toTell(ways, ConnectionEviction.NONE));
        assertEquals(0, ConnectionEviction.toTell(ways, 2));
        assertEquals(2, ConnectionEviction.toTell(ways, 0));
        assertEquals(0, ConnectionEviction.toTell(ways.subList(0, 2), 0), "no other");
        assertEquals(ConnectionEviction.NONE, ConnectionEviction.toTell(ways.subList(1, 2), 1));
    }

    @Test
    void aStartWaitsForWhatWasMissedButNotForLong() {
        WatchRetryPolicy told = new WatchRetryPolicy(1);
        told.asked(0);
        assertFalse(told.caughtUp(90));
        told.answered(90);
        assertFalse(told.caughtUp(180));
        told.heard(180);
        assertFalse(told.caughtUp(195), "more may follow at once");
        assertTrue(told.caughtUp(200));
        WatchRetryPolicy empty = new WatchRetryPolicy(1);
        empty.asked(0);
        empty.answered(10);
        assertFalse(empty.caughtUp(100));
        assertTrue(empty.caughtUp(110), "nothing was missed");
        WatchRetryPolicy silent = new WatchRetryPolicy(1);
        silent.asked(0);
        assertFalse(silent.caughtUp(1400));
        assertTrue(silent.caughtUp(1500));
        WatchRetryPolicy down = new WatchRetryPolicy(1);
        down.asked(0);
        down.broken(5);
        assertTrue(down.caughtUp(6));
    }

    @Test
    void serversKeepDescriptorsOfTheirOwn() {
        for (int sockets : new int[] {64, 256, 1024}) {
            FileDescriptorBudget shares = new FileDescriptorBudget(sockets);
            assertTrue(shares.viewers() + shares.servers() < sockets);
            assertTrue(shares.servers() * 3 >= shares.viewers());
        }
        assertTrue(new FileDescriptorBudget(256).viewers() >= 256 / 3 + 20, "a third, and peers beyond it");
    }

    @Test
    void onlyFullAndMootProveThatNothingRan() {
        for (int cause = 0; cause < 256; cause++) {
            boolean proof = ReleaseMeaning.beforeAnswer(cause).neverRan();
            assertEquals(cause == 34 || cause == 102, proof, "cause " + cause);
        }
        assertEquals(Outcome.ERROR, ReleaseMeaning.beforeAnswer(47));
        assertEquals(Outcome.RESET, ReleaseMeaning.beforeAnswer(-1));
        assertEquals(Outcome.OK, ReleaseMeaning.afterAnswer(16));
        assertEquals(Outcome.CANCELLED, ReleaseMeaning.afterAnswer(31));
        assertEquals(Outcome.RESET, ReleaseMeaning.afterAnswer(41));
    }
}
