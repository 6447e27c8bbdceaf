package spanrill.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that each seeded violation is reported under its rule and that permitted event sequences are not. */
class ProtocolCheckerTest {
    private static final int NODE_INDEX = 0;
    private static final int DEADLINE_MS = 1000;
    private final Trial trial = TrialGenerator.generate(3, TrialKind.NETWORK);
    private final String repeatableClass = trial.classes().get(0).name();
    private final String atMostOnceClass = trial.classes().get(1).name();
    private final List<SoakEvent> events = new ArrayList<>();

    ProtocolCheckerTest() {
        addEvent(0, EventKind.NODE_STARTED, "", 0, 0, 0);
        addEvent(500, EventKind.NODE_READY, "", 0, 0, 0);
    }

    private void addEvent(double atMs, EventKind kind, String peer, long session, int connection, int code) {
        events.add(new SoakEvent(atMs, kind, NODE_INDEX, peer, session, connection, code));
    }

    /** Adds a request that a server answers and whose client receives the answer. */
    private void addAnsweredRequest(double atMs, long id, String className) {
        addEvent(atMs, EventKind.CLIENT_SENT, className, id, 1, DEADLINE_MS);
        addEvent(atMs + 1, EventKind.SERVER_SET_UP, "s-1", id, 0, 0);
        addEvent(atMs + 9, EventKind.SERVER_ANSWERED, "s-1", id, 0, 0);
        addEvent(atMs + 10, EventKind.CLIENT_ANSWERED, "s-1", id, 1, 0);
    }

    private List<Rule> brokenRules() {
        addEvent(60_000, EventKind.FAULT, FaultKind.CLIENT_CROWD.name(), 0, 0, 0);
        events.sort(Comparator.comparingDouble(SoakEvent::atMs));
        return new ProtocolChecker(trial, events)
                .violations().stream().map(Violation::rule).toList();
    }

    @Test
    void answeredRequestsBreakNoRule() {
        addAnsweredRequest(1000, 1, repeatableClass);
        addAnsweredRequest(1010, 2, atMostOnceClass);
        addEvent(2000, EventKind.SERVER_ENDED, "s-1", 1, 0, 16);
        addEvent(2001, EventKind.CLIENT_RELEASED, "", 1, 1, 16);
        assertEquals(List.of(), brokenRules());
    }

    @Test
    void requestWithoutAnswerIsLost() {
        addEvent(1000, EventKind.CLIENT_SENT, repeatableClass, 1, 1, 0);
        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void requestIsLostWhenNodeClosesConnectionUnlessBothCoincide() {
        addEvent(1000, EventKind.CLIENT_SENT, repeatableClass, 1, 1, 0);
        addEvent(1001, EventKind.SERVER_SET_UP, "s-1", 1, 0, 0);
        addEvent(1010, EventKind.NODE_CLOSED, "", 0, 1, 0);
        addEvent(1010, EventKind.SERVER_GIVEN_UP, "s-1", 1, 0, 0);
        addEvent(2000, EventKind.CLIENT_SENT, repeatableClass, 2, 2, 0);
        addEvent(2030, EventKind.NODE_CLOSED, "", 0, 2, 0);
        addAnsweredRequest(2031, 2, repeatableClass);
        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void sigkillWithoutSigtermExcusesUnansweredRequest() {
        addEvent(1000, EventKind.CLIENT_SENT, repeatableClass, 1, 1, 0);
        addEvent(1100, EventKind.NODE_KILL, "", 0, 0, 0);
        addEvent(1101, EventKind.NODE_CLOSED, "", 0, 1, 1);
        addEvent(1102, EventKind.NODE_EXIT, "", 0, 0, 137);
        assertEquals(List.of(), brokenRules());
    }

    @Test
    void requestUnansweredAtSigkillAfterSigtermIsLost() {
        addEvent(900, EventKind.NODE_TERM, "", 0, 0, 0);
        addEvent(2000, EventKind.CLIENT_SENT, repeatableClass, 1, 1, 0);
        addEvent(2001, EventKind.SERVER_SET_UP, "s-1", 1, 0, 0);
        addEvent(2100, EventKind.NODE_KILL, "", 0, 0, 0);
        addEvent(2101, EventKind.NODE_CLOSED, "", 0, 1, 1);
        addEvent(2102, EventKind.NODE_EXIT, "", 0, 0, 137);
        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void duplicateWrongAndLateAnswersAreLost() {
        addAnsweredRequest(1000, 1, repeatableClass);
        addEvent(1020, EventKind.CLIENT_ANSWERED, "s-1", 1, 1, 0);
        addAnsweredRequest(2000, 2, repeatableClass);
        events.set(events.size() - 1, new SoakEvent(2010, EventKind.CLIENT_ANSWERED, NODE_INDEX, "s-2", 2, 1, 0));
        addEvent(3000, EventKind.CLIENT_SENT, repeatableClass, 3, 1, 0);
        addEvent(3600, EventKind.CLIENT_RELEASED, "", 3, 1, 41);
        assertEquals(List.of(Rule.LOST, Rule.LOST, Rule.LOST), brokenRules());
    }

    @Test
    void atMostOnceSetUpRepeatedOrRefusedWithoutProofIsDuplicate() {
        addEvent(1000, EventKind.CLIENT_SENT, atMostOnceClass, 1, 1, 0);
        addEvent(1001, EventKind.SERVER_SET_UP, "s-1", 1, 0, 0);
        addEvent(1005, EventKind.SERVER_LOST, "s-1", 1, 0, 0);
        addEvent(1006, EventKind.SERVER_SET_UP, "s-2", 1, 0, 0);
        addEvent(1008, EventKind.SERVER_ANSWERED, "s-2", 1, 0, 34);
        addEvent(1010, EventKind.CLIENT_RELEASED, "", 1, 1, 42);
        assertEquals(List.of(Rule.DUPLICATE, Rule.DUPLICATE), brokenRules());
    }

    @Test
    void atMostOnceSetUpThatNeverRanMayBeRepeatedAndRefused() {
        addEvent(1000, EventKind.CLIENT_SENT, atMostOnceClass, 1, 1, 0);
        addEvent(1001, EventKind.SERVER_SET_UP, "s-1", 1, 0, 0);
        addEvent(1005, EventKind.SERVER_ANSWERED, "s-1", 1, 0, 34);
        addEvent(1006, EventKind.SERVER_SET_UP, "s-2", 1, 0, 0);
        addEvent(1008, EventKind.SERVER_ANSWERED, "s-2", 1, 0, 34);
        addEvent(1010, EventKind.CLIENT_RELEASED, "", 1, 1, 42);
        assertEquals(List.of(), brokenRules());
    }

    @Test
    void concurrentAndExcessAttemptsAreReported() {
        addEvent(1000, EventKind.CLIENT_SENT, repeatableClass, 1, 1, 0);
        for (int i = 0; i <= Trial.MAX_ATTEMPTS; i++) {
            addEvent(1001 + 100 * i, EventKind.SERVER_SET_UP, "s-" + i, 1, 0, 0);
            addEvent(1090 + 100 * i, EventKind.SERVER_GIVEN_UP, "s-" + i, 1, 0, 0);
        }
        addEvent(1030, EventKind.SERVER_SET_UP, "s-9", 1, 0, 0);
        addEvent(1031, EventKind.SERVER_GIVEN_UP, "s-9", 1, 0, 0);
        addEvent(1050, EventKind.SERVER_SET_UP, "s-8", 1, 0, 0);
        addEvent(1051, EventKind.SERVER_GIVEN_UP, "s-8", 1, 0, 0);
        addEvent(1405, EventKind.CLIENT_RELEASED, "", 1, 1, 41);
        List<Rule> brokenRules = brokenRules();
        assertTrue(brokenRules.contains(Rule.ATTEMPTS), brokenRules.toString());
        assertEquals(
                1,
                brokenRules.stream().filter(Rule.TWO_OUT::equals).count(),
                "overlaps of 40 ms are within the tolerance");
    }

    @Test
    void thirdRequestForwardedAfterItsClientLeftBreaksRule() {
        for (int id = 1; id <= 3; id++) {
            addEvent(1000 * id, EventKind.CLIENT_SENT, repeatableClass, id, 1, 0);
            addEvent(1000 * id + 10, EventKind.CLIENT_CANCELLED, repeatableClass, id, 1, 0);
            addEvent(1000 * id + 150, EventKind.SERVER_SET_UP, "s-1", id, 0, 0);
        }
        assertEquals(List.of(Rule.GONE_CLIENT), brokenRules());
    }

    @Test
    void attemptAfterAnswerIsReported() {
        addEvent(1000, EventKind.CLIENT_SENT, repeatableClass, 1, 1, 0);
        addEvent(1010, EventKind.CLIENT_RELEASED, "", 1, 1, 42);
        addEvent(1100, EventKind.SERVER_SET_UP, "s-1", 1, 0, 0);
        addEvent(1101, EventKind.SERVER_GIVEN_UP, "s-1", 1, 0, 0);
        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void setUpAfterDrainGracePeriodIsReported() {
        events.add(new SoakEvent(1000, EventKind.DISCOVERY_EVENT, -1, "s-1", 0, 0, ServerState.DRAINING.ordinal()));
        addAnsweredRequest(1200, 1, repeatableClass);
        addAnsweredRequest(1400, 2, repeatableClass);
        assertEquals(List.of(Rule.DRAIN), brokenRules());
    }

    @Test
    void drainDuringDiscoveryOutageAppliesSixSecondsAfterRecovery() {
        addEvent(900, EventKind.FAULT, FaultKind.DISCOVERY_DOWN.name(), 0, 0, 1000);
        events.add(new SoakEvent(1000, EventKind.DISCOVERY_EVENT, -1, "s-1", 0, 0, ServerState.DRAINING.ordinal()));
        addAnsweredRequest(8100, 1, repeatableClass);
        addAnsweredRequest(8400, 2, repeatableClass);
        assertEquals(List.of(Rule.DRAIN), brokenRules());
    }

    @Test
    void slowDiscoveryExtendsTheDrainGraceBySixSecondsFromTheChange() {
        addEvent(900, EventKind.FAULT, FaultKind.DISCOVERY_SLOW.name(), 0, 0, 9000);
        events.add(new SoakEvent(1000, EventKind.DISCOVERY_EVENT, -1, "s-1", 0, 0, ServerState.DRAINING.ordinal()));
        addAnsweredRequest(7200, 1, repeatableClass);
        addAnsweredRequest(7400, 2, repeatableClass);
        assertEquals(List.of(Rule.DRAIN), brokenRules());
    }

    @Test
    void setUpsThatReachASilentMachineCountUntilItIsListedAgain() {
        events.add(new SoakEvent(1000, EventKind.DISCOVERY_EVENT, -1, "s-1", 0, 0, ServerState.GONE.ordinal()));
        addEvent(1400, EventKind.SERVER_BYTES, "s-1", 1, 0, 0);
        events.add(new SoakEvent(2000, EventKind.DISCOVERY_EVENT, -1, "s-1", 0, 0, ServerState.SERVING.ordinal()));
        addAnsweredRequest(2100, 2, repeatableClass);
        assertEquals(List.of(Rule.DRAIN), brokenRules());
    }

    @Test
    void answerThatFallsDueWhileTheNodeIsStoppedIsDueOnceItContinues() {
        addEvent(1000, EventKind.CLIENT_SENT, repeatableClass, 1, 1, DEADLINE_MS);
        addEvent(1000, EventKind.CLIENT_SENT, repeatableClass, 2, 1, DEADLINE_MS);
        addEvent(2000, EventKind.NODE_STOPPED, "", 0, 0, 0);
        addEvent(3500, EventKind.NODE_CONTINUED, "", 0, 0, 0);
        addEvent(3590, EventKind.CLIENT_RELEASED, "", 1, 1, 41);
        addEvent(3610, EventKind.CLIENT_RELEASED, "", 2, 1, 41);
        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void pauseThatEndsBeforeAnAnswerFallsDueIsNoExcuse() {
        addEvent(1000, EventKind.CLIENT_SENT, repeatableClass, 1, 1, DEADLINE_MS);
        addEvent(1000, EventKind.NODE_STOPPED, "", 0, 0, 0);
        addEvent(2400, EventKind.NODE_CONTINUED, "", 0, 0, 0);
        addEvent(2600, EventKind.CLIENT_RELEASED, "", 1, 1, 41);
        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void releaseThatFallsDueWhileTheNodeIsStoppedIsDueOnceItContinues() {
        addAnsweredRequest(1000, 1, repeatableClass);
        addAnsweredRequest(1000, 2, repeatableClass);
        addEvent(2000, EventKind.FAULT, FaultKind.NODE_PAUSED.name(), 0, 0, 1500);
        addEvent(2000, EventKind.NODE_STOPPED, "", 0, 0, 0);
        addEvent(2200, EventKind.SERVER_ENDED, "s-1", 1, 0, 16);
        addEvent(2200, EventKind.SERVER_ENDED, "s-1", 2, 0, 16);
        addEvent(3500, EventKind.NODE_CONTINUED, "", 0, 0, 0);
        addEvent(3590, EventKind.CLIENT_RELEASED, "", 1, 1, 16);
        addEvent(3610, EventKind.CLIENT_RELEASED, "", 2, 1, 16);
        assertEquals(List.of(Rule.RELEASE), brokenRules());
    }

    @Test
    void missingReleasesAreReported() {
        addAnsweredRequest(1000, 1, repeatableClass);
        addEvent(2000, EventKind.SERVER_ENDED, "s-1", 1, 0, 16);
        addAnsweredRequest(3000, 2, repeatableClass);
        addEvent(4000, EventKind.CLIENT_CANCELLED, "s-1", 2, 1, 1);
        assertEquals(List.of(Rule.RELEASE, Rule.RELEASE), brokenRules());
    }

    @Test
    void sessionLostWithServerMustBeReleasedWithinEightSeconds() {
        addAnsweredRequest(1000, 1, repeatableClass);
        addAnsweredRequest(1010, 2, repeatableClass);
        events.add(new SoakEvent(2000, EventKind.SERVER_LOST, -1, "s-1", 0, 0, 0));
        addEvent(9900, EventKind.CLIENT_RELEASED, "", 1, 1, 41);
        assertEquals(List.of(Rule.RELEASE), brokenRules());
    }

    @Test
    void overloadOfColdServerIsReported() {
        events.add(new SoakEvent(900, EventKind.SERVER_STARTED, -1, "s-1", 0, 0, 0));
        events.add(new SoakEvent(950, EventKind.DISCOVERY_EVENT, -1, "s-1", 0, 0, ServerState.SERVING.ordinal()));
        for (int id = 1; id <= 400; id++) {
            addAnsweredRequest(1000 + id, id, repeatableClass);
        }
        assertEquals(List.of(Rule.COLD), brokenRules());
    }

    @Test
    void unexpectedExitAndLateStartAreReported() {
        addEvent(5000, EventKind.NODE_EXIT, "", 0, 0, 1);
        addEvent(6000, EventKind.NODE_STARTED, "", 0, 0, 0);
        addEvent(17_000, EventKind.NODE_READY, "", 0, 0, 0);
        assertEquals(List.of(Rule.CRASH, Rule.START), brokenRules());
    }

    @Test
    void badClientsWithoutRefusalOrWithAnswerAreReported() {
        addEvent(5000, EventKind.BAD_CLIENT_DONE, "NOISE", 0, 0, 0);
        addEvent(5001, EventKind.BAD_CLIENT_SERVED, "NOISE", 0, 0, 0);
        assertEquals(List.of(Rule.BAD_CLIENT, Rule.BAD_CLIENT), brokenRules());
    }

    @Test
    void sameSeedGeneratesSameTrial() {
        for (long seed = 1; seed <= 50; seed++) {
            assertEquals(TrialGenerator.generate(seed), TrialGenerator.generate(seed));
        }
    }
}
