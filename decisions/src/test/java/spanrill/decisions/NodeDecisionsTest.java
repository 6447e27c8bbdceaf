package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.DiscoveryRetryPolicy.Reason;
import spanrill.decisions.FailureDetector.Step;

/** Decisions of a front node outside the module. */
class NodeDecisionsTest {
    private static final PendingReleases.Limits RELEASE_LIMITS = new PendingReleases.Limits(8000, 300, 5, 600, 2);

    @Test
    void setUpGetsItsOwnConnectionUpToTheLimit() {
        ConnectionSelector selector = new ConnectionSelector(5000, 2);
        ConnectionSelector.Connection busy = new ConnectionSelector.Connection(1, 0, true);
        assertEquals(ConnectionSelector.OPEN_NEW, selector.select(List.of(), true));
        assertEquals(ConnectionSelector.OPEN_NEW, selector.select(List.of(busy), true));
        assertEquals(
                1,
                selector.select(
                        List.of(
                                busy,
                                new ConnectionSelector.Connection(0, 100, true),
                                new ConnectionSelector.Connection(0, 900, true)),
                        true));
        assertEquals(0, selector.select(List.of(busy, new ConnectionSelector.Connection(2, 0, true)), false));
        assertEquals(
                ConnectionSelector.NONE_AVAILABLE,
                selector.select(List.of(new ConnectionSelector.Connection(2, 0, true)), false));
    }

    /** The server may be closing a long idle connection, and an unusable one delivers no answers. */
    @Test
    void idleAndUnusableConnectionsAreNotSelected() {
        ConnectionSelector selector = new ConnectionSelector(5000, 2);
        List<ConnectionSelector.Connection> links = List.of(
                new ConnectionSelector.Connection(0, 5001, true), new ConnectionSelector.Connection(0, 0, false));
        assertEquals(ConnectionSelector.OPEN_NEW, selector.select(links, true));
        assertEquals(ConnectionSelector.NONE_AVAILABLE, selector.select(links, false));
    }

    @Test
    void silentServerIsTestedThenReconnectedThenGone() {
        FailureDetector detector = new FailureDetector(3000, 250);
        detector.onReceived(0);
        assertEquals(Step.NONE, detector.nextStep(2999));
        assertEquals(Step.TEST, detector.nextStep(3000));
        assertEquals(Step.NONE, detector.nextStep(3100));
        assertEquals(Step.CONNECT, detector.nextStep(3250));
        assertEquals(Step.NONE, detector.nextStep(3500));
        assertEquals(Step.CONNECT, detector.nextStep(3750));
        assertEquals(Step.CONNECT, detector.nextStep(4250));
        assertEquals(Step.GONE, detector.nextStep(4750), "within 8 s of the failure");
    }

    /**
     * After the death of a server, new connections may be refused while an old connection stays open and silent.
     */
    @Test
    void refusedConnectionMeansGoneUnlessAnotherDeliversData() {
        FailureDetector detector = new FailureDetector(3000, 250);
        detector.onReceived(0);
        assertTrue(detector.isGoneAfterRefusal(10, false));
        assertFalse(detector.isGoneAfterRefusal(10, true));
        assertTrue(detector.isGoneAfterRefusal(600, true));
    }

    @Test
    void receivedDataEndsTheSuspicion() {
        FailureDetector detector = new FailureDetector(3000, 250);
        detector.onReceived(0);
        detector.nextStep(3000);
        detector.nextStep(3300);
        detector.nextStep(3900);
        detector.nextStep(4500);
        detector.onReceived(4600);
        assertEquals(Step.NONE, detector.nextStep(7500));
        assertEquals(Step.TEST, detector.nextStep(7600), "the silence is counted anew");
    }

    @Test
    void discoveryIsRequestedAgainBeforeMissedUpdatesCountAsDelivered() {
        DiscoveryRetryPolicy policy = new DiscoveryRetryPolicy(7);
        long first = policy.onCall(0);
        policy.onData(first, 10);
        assertNull(policy.callDue(2000), "comments are sent every second");
        assertEquals(Reason.SILENT, policy.callDue(2300), "missed updates count as delivered 4 s after a stall");
        long second = policy.onCall(2300);
        assertEquals(
                List.of(first), policy.onData(second, 2310), "a later call that has data replaces the earlier one");
        policy.onFailure(second, 2400);
        assertEquals(Reason.FAILED, policy.callDue(2500), "missed updates count as delivered 2 s after a failure");
        for (int i = 0; i < 20; i++) {
            policy.onFailure(policy.onCall(3000), 3000);
            assertEquals(Reason.FAILED, policy.callDue(3600), "after any number of failures");
        }
        policy.onCall(3000);
        assertEquals(Reason.UNANSWERED, policy.callDue(4500), "no response");
    }

    /** Guards against a stream being ended while updates lie unread on it (report 9d0960). */
    @Test
    void silentStreamIsKeptUntilALaterCallHasData() {
        DiscoveryRetryPolicy policy = new DiscoveryRetryPolicy(7);
        long stream = policy.onCall(0);
        policy.onData(stream, 10);
        assertEquals(Reason.SILENT, policy.callDue(2300));
        assertEquals(List.of(), policy.callsToGiveUp(2300));
        long later = policy.onCall(2300);
        assertEquals(List.of(), policy.onData(stream, 2301), "an earlier call ends no later one");
        assertNull(policy.callDue(4400));
        policy.onFailure(later, 4400);
        assertEquals(Reason.FAILED, policy.callDue(5000), "silent again, and the later call failed");
        assertEquals(List.of(stream), policy.onData(policy.onCall(5000), 5001));
        assertNull(policy.callDue(7000));
    }

    @Test
    void atMostFourCallsToDiscoveryAreOpen() {
        DiscoveryRetryPolicy policy = new DiscoveryRetryPolicy(7);
        List<Long> calls = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            assertEquals(List.of(), policy.callsToGiveUp(1500 * i));
            calls.add(policy.onCall(1500 * i));
        }
        assertEquals(List.of(calls.get(1)), policy.callsToGiveUp(6000), "the answer of the oldest is due first");
        policy.onCall(6000);
        assertEquals(List.of(calls.get(0)), policy.callsToGiveUp(20_000), "the oldest is too old");
    }

    /** Guards against an update that can never be applied being requested twenty times a second. */
    @Test
    void delayOfDiscoveryRetriesGrowsWhileEachResponseFailsAtOnce() {
        DiscoveryRetryPolicy policy = new DiscoveryRetryPolicy(7);
        for (int i = 0; i < 6; i++) {
            long call = policy.onCall(0);
            policy.onData(call, 5);
            policy.onFailure(call, 5);
        }
        assertNull(policy.callDue(5 + 299), "half of the longest delay, 600 ms, at least");
        long longCall = policy.onCall(0);
        policy.onData(longCall, 1000);
        policy.onFailure(longCall, 1000);
        assertEquals(Reason.FAILED, policy.callDue(1060), "soon after a response that went on");
        long applied = policy.onCall(2000);
        policy.onUpdateApplied();
        policy.onFailure(applied, 2010);
        assertEquals(Reason.FAILED, policy.callDue(2070), "soon after an update that was applied");
    }

    @Test
    void connectionsWithoutUsefulInputAreEvictedFirstAndBusyOnesNever() {
        ConnectionEviction.Candidate waiting =
                new ConnectionEviction.Candidate(1, 0, ClientActivity.NOTHING_USEFUL, 9000);
        ConnectionEviction.Candidate established = new ConnectionEviction.Candidate(0, 1, ClientActivity.SERVED, 9000);
        ConnectionEviction.Candidate idle = new ConnectionEviction.Candidate(0, 0, ClientActivity.SERVED, 5000);
        ConnectionEviction.Candidate recent = new ConnectionEviction.Candidate(0, 0, ClientActivity.SERVED, 50);
        ConnectionEviction.Candidate tested = new ConnectionEviction.Candidate(0, 0, ClientActivity.TESTED, 100);
        ConnectionEviction.Candidate testedLongAgo =
                new ConnectionEviction.Candidate(0, 0, ClientActivity.TESTED, 8000);
        ConnectionEviction.Candidate refused = new ConnectionEviction.Candidate(0, 0, ClientActivity.REQUESTED, 9000);
        ConnectionEviction.Candidate silent =
                new ConnectionEviction.Candidate(0, 0, ClientActivity.NOTHING_USEFUL, 300);
        ConnectionEviction.Candidate young = new ConnectionEviction.Candidate(0, 0, ClientActivity.NOTHING_USEFUL, 299);
        List<ConnectionEviction.Candidate> all = new ArrayList<>(
                List.of(waiting, established, young, idle, recent, refused, tested, testedLongAgo, silent));
        for (ConnectionEviction.Candidate next : List.of(silent, refused, testedLongAgo, tested, idle, young)) {
            int chosen = ConnectionEviction.chooseVictim(all);
            assertEquals(next, all.get(chosen));
            all.remove(chosen);
        }
        assertEquals(
                ConnectionEviction.NONE,
                ConnectionEviction.chooseVictim(all),
                "the last served connection and the busy ones remain");
    }

    /** Guards against strangers that take the only connection on which a release can reach refused viewers. */
    @Test
    void connectionOfRefusedViewersIsNotEvictedWhileNoOtherLeadsToViewers() {
        ConnectionEviction.Candidate refused = new ConnectionEviction.Candidate(0, 0, ClientActivity.REQUESTED, 9000);
        ConnectionEviction.Candidate tested = new ConnectionEviction.Candidate(0, 0, ClientActivity.TESTED, 50);
        assertEquals(1, ConnectionEviction.chooseVictim(List.of(refused, tested)));
        assertEquals(ConnectionEviction.NONE, ConnectionEviction.chooseVictim(List.of(refused)));
    }

    @Test
    void releaseIsRoutedToTheLastUsefulConnectionAndThenToTheOthersInTurn() {
        List<ReleaseRoutes.Route> routes = List.of(
                new ReleaseRoutes.Route(ClientActivity.SERVED, true, 5),
                new ReleaseRoutes.Route(ClientActivity.SERVED, false, 9),
                new ReleaseRoutes.Route(ClientActivity.SERVED, true, 7),
                new ReleaseRoutes.Route(ClientActivity.REQUESTED, true, 8),
                new ReleaseRoutes.Route(ClientActivity.TESTED, true, 10),
                new ReleaseRoutes.Route(ClientActivity.NOTHING_USEFUL, true, 10));
        List<Integer> usable = ReleaseRoutes.order(routes);
        assertEquals(List.of(2, 0, 3), usable);
        PendingReleases<String, Integer> releases = new PendingReleases<>(RELEASE_LIMITS);
        PendingReleases.PendingRelease<String, Integer> release = releases.add(0, 1, "end");
        for (int expected : new int[] {2, 0, 3, 2, 0}) {
            Integer route = release.nextRoute(usable);
            assertEquals(expected, route);
            releases.markSent(0, release, route);
        }
        assertEquals(0, release.nextRoute(List.of(0)), "no other usable connection");
        assertEquals(List.of(), ReleaseRoutes.order(routes.subList(4, 6)), "no connection leads to viewers");
    }

    /** Each release is offered for its whole lifetime: viewers may open a connection at any time of it. */
    @Test
    void releaseIsRetransmittedOftenAtFirstAndThenSeldomUntilItsLifetimeEnds() {
        PendingReleases<String, Integer> releases = new PendingReleases<>(RELEASE_LIMITS);
        PendingReleases.PendingRelease<String, Integer> release = releases.add(0, 1, "end");
        List<Integer> sentAt = new ArrayList<>();
        for (int now = 0; now <= 8100; now += 100) {
            releases.dropExpired(now);
            if (!releases.due(now).isEmpty()) {
                sentAt.add(now);
                releases.markSent(now, release, 0);
            }
            assertEquals(now < 1200, releases.isAwaitingAcknowledgement(), "at " + now);
        }
        assertEquals(List.of(0, 300, 600, 900, 1200, 1800, 2400), sentAt.subList(0, 7));
        assertEquals(7800, sentAt.get(sentAt.size() - 1));
        assertTrue(releases.isEmpty(), "dropped after its lifetime");
    }

    @Test
    void oldestPendingReleaseIsDroppedAtCapacity() {
        PendingReleases<String, Integer> releases = new PendingReleases<>(RELEASE_LIMITS);
        for (int session = 1; session <= 3; session++) {
            releases.add(0, session, "end");
        }
        assertFalse(releases.acknowledge(1));
        assertTrue(releases.acknowledge(2) && releases.acknowledge(3));
    }

    @Test
    void startWaitsForMissedUpdatesForALimitedTime() {
        DiscoveryRetryPolicy updated = new DiscoveryRetryPolicy(1);
        long updatedCall = updated.onCall(0);
        assertFalse(updated.isCaughtUp(90));
        updated.onResponse(updatedCall, 90);
        assertFalse(updated.isCaughtUp(180));
        updated.onData(updatedCall, 180);
        assertFalse(updated.isCaughtUp(195), "more data may follow at once");
        assertTrue(updated.isCaughtUp(200));
        DiscoveryRetryPolicy empty = new DiscoveryRetryPolicy(1);
        empty.onResponse(empty.onCall(0), 10);
        assertFalse(empty.isCaughtUp(100));
        assertTrue(empty.isCaughtUp(110), "no update was missed");
        DiscoveryRetryPolicy silent = new DiscoveryRetryPolicy(1);
        silent.onCall(0);
        assertFalse(silent.isCaughtUp(1400));
        assertTrue(silent.isCaughtUp(1500));
        DiscoveryRetryPolicy down = new DiscoveryRetryPolicy(1);
        down.onFailure(down.onCall(0), 5);
        assertTrue(down.isCaughtUp(6));
    }

    @Test
    void serversHaveTheirOwnShareOfDescriptors() {
        for (int descriptors : new int[] {64, 256, 1024}) {
            FileDescriptorBudget budget = new FileDescriptorBudget(descriptors);
            assertTrue(budget.maxViewerConnections() + budget.maxServerConnections() < descriptors);
            assertTrue(budget.maxServerConnections() * 3 >= budget.maxViewerConnections());
        }
        assertTrue(
                new FileDescriptorBudget(256).maxViewerConnections() >= 256 / 3 + 20,
                "a third for viewers, and more for other clients");
    }

    @Test
    void onlyFullAndMootCausesProveThatNothingRan() {
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

    @Test
    void requiredReleaseAsksForConnectionsAtGrowingIntervalsForALimitedTime() {
        ServerReleaseQueue queue = new ServerReleaseQueue(8000, 250, 3);
        queue.addOptional(1);
        assertFalse(queue.needsConnection(0), "waits for a connection that is opened anyway");
        queue.addRequired(0, 2);
        queue.addOptional(2);
        List<Integer> connectedAt = new ArrayList<>();
        for (int now = 0; now < 20_000; now += 50) {
            if (queue.needsConnection(now)) {
                connectedAt.add(now);
                queue.onConnecting(now);
            }
        }
        assertEquals(List.of(0, 250, 750, 1750, 3750, 7750), connectedAt);
        queue.addRequired(8500, 3);
        assertTrue(queue.needsConnection(8500), "the intervals start again for a later release");
        queue.addRequired(8500, 4);
        assertEquals(List.of(1L, 2L, 3L), queue.takeAll(), "all that wait, up to the capacity");
        assertTrue(queue.isEmpty());
        queue.addRequired(20_000, 5);
        assertTrue(queue.needsConnection(20_000), "the intervals start again after a connection");
    }
}
