package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.FailureDetector.Step;

/** The choices that a front node makes itself. */
class NodeChoicesTest {
    @Test
    void aSetUpGetsAConnectionOfItsOwnWhileThereIsRoom() {
        ConnectionSelector choice = new ConnectionSelector(5000, 2);
        ConnectionSelector.Connection busy = new ConnectionSelector.Connection(1, 0, true);
        assertEquals(ConnectionSelector.OPEN_NEW, choice.select(List.of(), true));
        assertEquals(ConnectionSelector.OPEN_NEW, choice.select(List.of(busy), true));
        assertEquals(
                1,
                choice.select(
                        List.of(
                                busy,
                                new ConnectionSelector.Connection(0, 100, true),
                                new ConnectionSelector.Connection(0, 900, true)),
                        true));
        assertEquals(0, choice.select(List.of(busy, new ConnectionSelector.Connection(2, 0, true)), false));
        assertEquals(
                ConnectionSelector.NONE_AVAILABLE,
                choice.select(List.of(new ConnectionSelector.Connection(2, 0, true)), false));
    }

    /** One idle for long may be closing at the other end; one that was spoilt tells nothing. */
    @Test
    void idleAndSpoiltConnectionsTakeNothing() {
        ConnectionSelector choice = new ConnectionSelector(5000, 2);
        List<ConnectionSelector.Connection> links = List.of(
                new ConnectionSelector.Connection(0, 5001, true), new ConnectionSelector.Connection(0, 0, false));
        assertEquals(ConnectionSelector.OPEN_NEW, choice.select(links, true));
        assertEquals(ConnectionSelector.NONE_AVAILABLE, choice.select(links, false));
    }

    @Test
    void aSilentServerIsTestedThenTriedThenGone() {
        FailureDetector watch = new FailureDetector(3000, 250);
        watch.onReceived(0);
        assertEquals(Step.NONE, watch.nextStep(2999));
        assertEquals(Step.TEST, watch.nextStep(3000));
        assertEquals(Step.NONE, watch.nextStep(3100));
        assertEquals(Step.CONNECT, watch.nextStep(3250));
        assertEquals(Step.NONE, watch.nextStep(3500));
        assertEquals(Step.CONNECT, watch.nextStep(3750));
        assertEquals(Step.CONNECT, watch.nextStep(4250));
        assertEquals(Step.GONE, watch.nextStep(4750), "well within 8 s of its end");
    }

    /**
     * Seen: a server died, its process refused connections, and one old connection stayed open and silent.
     */
    @Test
    void aRefusedConnectionMeansGoneUnlessAnOlderOneStillTells() {
        FailureDetector watch = new FailureDetector(3000, 250);
        watch.onReceived(0);
        assertTrue(watch.isGoneAfterRefusal(10, false));
        assertFalse(watch.isGoneAfterRefusal(10, true));
        assertTrue(watch.isGoneAfterRefusal(600, true));
    }

    @Test
    void anythingHeardEndsTheSuspicion() {
        FailureDetector watch = new FailureDetector(3000, 250);
        watch.onReceived(0);
        watch.nextStep(3000);
        watch.nextStep(3300);
        watch.nextStep(3900);
        watch.nextStep(4500);
        watch.onReceived(4600);
        assertEquals(Step.NONE, watch.nextStep(7500));
        assertEquals(Step.TEST, watch.nextStep(7600), "from the beginning");
    }

    @Test
    void theBulletinIsAskedAgainWellWithinWhatCountsAsTold() {
        DiscoveryRetryPolicy watch = new DiscoveryRetryPolicy(7);
        watch.onRequest(0);
        watch.onData(10);
        assertFalse(watch.isRetryDue(2000), "comments come each second");
        assertTrue(watch.isRetryDue(2300), "a stop counts as told after 4 s");
        watch.onRequest(2300);
        watch.onData(2310);
        watch.onFailure(2400);
        assertTrue(watch.isRetryDue(2500), "a break counts as told after 2 s");
        watch.onRequest(3000);
        for (int i = 0; i < 20; i++) {
            watch.onFailure(3000);
            assertTrue(watch.isRetryDue(3600), "however often it fails");
            watch.onRequest(3000);
        }
        assertTrue(watch.isRetryDue(4500), "an answer that stays out");
    }

    /** A process held back by its share of a core reads late: the viewer's wait has run on meanwhile. */
    @Test
    void timeThatBytesLayUnreadIsTakenOffTheWait() {
        ReceiveDelayEstimator unread = new ReceiveDelayEstimator(20);
        assertEquals(0, unread.estimateMs(50), "not known yet");
        unread.onLoopIteration(100);
        assertEquals(0, unread.estimateMs(115));
        assertEquals(80, unread.estimateMs(200));
        unread.onLoopIteration(201);
        assertEquals(0, unread.estimateMs(202));
    }

    @Test
    void whoBroughtNothingMakesRoomFirstAndWhoWaitsNever() {
        ConnectionEviction.Candidate waits =
                new ConnectionEviction.Candidate(1, 0, ConnectionEviction.Activity.NOTHING_USEFUL, 9000);
        ConnectionEviction.Candidate stands =
                new ConnectionEviction.Candidate(0, 1, ConnectionEviction.Activity.SERVED, 9000);
        ConnectionEviction.Candidate idle =
                new ConnectionEviction.Candidate(0, 0, ConnectionEviction.Activity.SERVED, 5000);
        ConnectionEviction.Candidate recent =
                new ConnectionEviction.Candidate(0, 0, ConnectionEviction.Activity.SERVED, 50);
        ConnectionEviction.Candidate tested =
                new ConnectionEviction.Candidate(0, 0, ConnectionEviction.Activity.NOT_SERVED, 100);
        ConnectionEviction.Candidate testedLongAgo =
                new ConnectionEviction.Candidate(0, 0, ConnectionEviction.Activity.NOT_SERVED, 8000);
        ConnectionEviction.Candidate silent =
                new ConnectionEviction.Candidate(0, 0, ConnectionEviction.Activity.NOTHING_USEFUL, 300);
        ConnectionEviction.Candidate young =
                new ConnectionEviction.Candidate(0, 0, ConnectionEviction.Activity.NOTHING_USEFUL, 299);
        List<ConnectionEviction.Candidate> all =
                new ArrayList<>(List.of(waits, stands, young, idle, recent, tested, testedLongAgo, silent));
        for (ConnectionEviction.Candidate next : List.of(silent, testedLongAgo, tested, idle, young)) {
            int chosen = ConnectionEviction.chooseVictim(all);
            assertEquals(next, all.get(chosen));
            all.remove(chosen);
        }
        assertEquals(
                ConnectionEviction.NONE, ConnectionEviction.chooseVictim(all), "the last that may tell, waits, stands");
    }

    @Test
    void whatIsOwedGoesWhereSomethingUsefulCameLastAndThenElsewhere() {
        List<ConnectionEviction.Route> ways = List.of(
                new ConnectionEviction.Route(true, 5),
                new ConnectionEviction.Route(false, 9),
                new ConnectionEviction.Route(true, 7));
        assertEquals(2, ConnectionEviction.chooseRoute(ways, ConnectionEviction.NONE));
        assertEquals(0, ConnectionEviction.chooseRoute(ways, 2));
        assertEquals(2, ConnectionEviction.chooseRoute(ways, 0));
        assertEquals(0, ConnectionEviction.chooseRoute(ways.subList(0, 2), 0), "no other");
        assertEquals(ConnectionEviction.NONE, ConnectionEviction.chooseRoute(ways.subList(1, 2), 1));
    }

    @Test
    void aStartWaitsForWhatWasMissedButNotForLong() {
        DiscoveryRetryPolicy told = new DiscoveryRetryPolicy(1);
        told.onRequest(0);
        assertFalse(told.isCaughtUp(90));
        told.onResponse(90);
        assertFalse(told.isCaughtUp(180));
        told.onData(180);
        assertFalse(told.isCaughtUp(195), "more may follow at once");
        assertTrue(told.isCaughtUp(200));
        DiscoveryRetryPolicy empty = new DiscoveryRetryPolicy(1);
        empty.onRequest(0);
        empty.onResponse(10);
        assertFalse(empty.isCaughtUp(100));
        assertTrue(empty.isCaughtUp(110), "nothing was missed");
        DiscoveryRetryPolicy silent = new DiscoveryRetryPolicy(1);
        silent.onRequest(0);
        assertFalse(silent.isCaughtUp(1400));
        assertTrue(silent.isCaughtUp(1500));
        DiscoveryRetryPolicy down = new DiscoveryRetryPolicy(1);
        down.onRequest(0);
        down.onFailure(5);
        assertTrue(down.isCaughtUp(6));
    }

    @Test
    void serversKeepDescriptorsOfTheirOwn() {
        for (int sockets : new int[] {64, 256, 1024}) {
            FileDescriptorBudget shares = new FileDescriptorBudget(sockets);
            assertTrue(shares.maxViewerConnections() + shares.maxServerConnections() < sockets);
            assertTrue(shares.maxServerConnections() * 3 >= shares.maxViewerConnections());
        }
        assertTrue(
                new FileDescriptorBudget(256).maxViewerConnections() >= 256 / 3 + 20, "a third, and peers beyond it");
    }

    @Test
    void onlyFullAndMootProveThatNothingRan() {
        for (int cause = 0; cause < 256; cause++) {
            boolean proof = ReleaseOutcomes.beforeAnswer(cause).neverRan();
            assertEquals(cause == 34 || cause == 102, proof, "cause " + cause);
        }
        assertEquals(Outcome.ERROR, ReleaseOutcomes.beforeAnswer(47));
        assertEquals(Outcome.RESET, ReleaseOutcomes.beforeAnswer(-1));
        assertEquals(Outcome.OK, ReleaseOutcomes.afterAnswer(16));
        assertEquals(Outcome.CANCELLED, ReleaseOutcomes.afterAnswer(31));
        assertEquals(Outcome.RESET, ReleaseOutcomes.afterAnswer(41));
    }
}
