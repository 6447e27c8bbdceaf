package spanrill.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Planted faults: each is found by its name, and what the protocol allows is not. */
class JudgeTest {
    private static final int NODE = 0;
    private static final int WAIT_MS = 1000;
    private final Trial trial = TrialGenerator.generate(3, TrialKind.NETWORK);
    private final String safe = trial.classes().get(0).name();
    private final String paid = trial.classes().get(1).name();
    private final List<SoakEvent> events = new ArrayList<>();

    JudgeTest() {
        at(0, EventKind.NODE_STARTED, "", 0, 0, 0);
        at(500, EventKind.NODE_READY, "", 0, 0, 0);
    }

    private void at(double ms, EventKind kind, String peer, long session, int connection, int code) {
        events.add(new SoakEvent(ms, kind, NODE, peer, session, connection, code));
    }

    /** A request that a server answers and a client hears of. */
    private void served(double ms, long id, String className) {
        at(ms, EventKind.CLIENT_SENT, className, id, 1, WAIT_MS);
        at(ms + 1, EventKind.SERVER_SET_UP, "s-1", id, 0, 0);
        at(ms + 9, EventKind.SERVER_ANSWERED, "s-1", id, 0, 0);
        at(ms + 10, EventKind.CLIENT_ANSWERED, "s-1", id, 1, 0);
    }

    private List<Rule> broken() {
        at(60_000, EventKind.FAULT, FaultKind.CLIENT_CROWD.name(), 0, 0, 0);
        events.sort(Comparator.comparingDouble(SoakEvent::ms));
        return new Judge(trial, events)
                .violations().stream().map(Violation::rule).toList();
    }

    @Test
    void whatIsServedWellBreaksNothing() {
        served(1000, 1, safe);
        served(1010, 2, paid);
        at(2000, EventKind.SERVER_ENDED, "s-1", 1, 0, 16);
        at(2001, EventKind.CLIENT_RELEASED, "", 1, 1, 16);
        assertEquals(List.of(), broken());
    }

    @Test
    void aRequestWithoutAnAnswerIsLost() {
        at(1000, EventKind.CLIENT_SENT, safe, 1, 1, 0);
        assertEquals(List.of(Rule.LOST), broken());
    }

    @Test
    void aConnectionThatEndsUnderARequestLosesItUnlessTheTwoCrossed() {
        at(1000, EventKind.CLIENT_SENT, safe, 1, 1, 0);
        at(1001, EventKind.SERVER_SET_UP, "s-1", 1, 0, 0);
        at(1010, EventKind.NODE_CLOSED, "", 0, 1, 0);
        at(1010, EventKind.SERVER_GIVEN_UP, "s-1", 1, 0, 0);
        at(2000, EventKind.CLIENT_SENT, safe, 2, 2, 0);
        at(2030, EventKind.NODE_CLOSED, "", 0, 2, 0);
        served(2031, 2, safe);
        assertEquals(List.of(Rule.LOST), broken());
    }

    @Test
    void aKillExcusesOnlyWithoutAStop() {
        at(1000, EventKind.CLIENT_SENT, safe, 1, 1, 0);
        at(1100, EventKind.NODE_KILL, "", 0, 0, 0);
        at(1101, EventKind.NODE_CLOSED, "", 0, 1, 1);
        at(1102, EventKind.NODE_EXIT, "", 0, 0, 137);
        assertEquals(List.of(), broken());
    }

    @Test
    void whatAKillAfterAStopFindsUnansweredIsLost() {
        at(900, EventKind.NODE_TERM, "", 0, 0, 0);
        at(2000, EventKind.CLIENT_SENT, safe, 1, 1, 0);
        at(2001, EventKind.SERVER_SET_UP, "s-1", 1, 0, 0);
        at(2100, EventKind.NODE_KILL, "", 0, 0, 0);
        at(2101, EventKind.NODE_CLOSED, "", 0, 1, 1);
        at(2102, EventKind.NODE_EXIT, "", 0, 0, 137);
        assertEquals(List.of(Rule.LOST), broken());
    }

    @Test
    void secondWrongAndLateAnswersAreLost() {
        served(1000, 1, safe);
        at(1020, EventKind.CLIENT_ANSWERED, "s-1", 1, 1, 0);
        served(2000, 2, safe);
        events.set(events.size() - 1, new SoakEvent(2010, EventKind.CLIENT_ANSWERED, NODE, "s-2", 2, 1, 0));
        at(3000, EventKind.CLIENT_SENT, safe, 3, 1, 0);
        at(3600, EventKind.CLIENT_RELEASED, "", 3, 1, 41);
        assertEquals(List.of(Rule.LOST, Rule.LOST, Rule.LOST), broken());
    }

    @Test
    void aPaidSetUpThatRunsTwiceOrIsRefusedWithoutProofIsADuplicate() {
        at(1000, EventKind.CLIENT_SENT, paid, 1, 1, 0);
        at(1001, EventKind.SERVER_SET_UP, "s-1", 1, 0, 0);
        at(1005, EventKind.SERVER_LOST, "s-1", 1, 0, 0);
        at(1006, EventKind.SERVER_SET_UP, "s-2", 1, 0, 0);
        at(1008, EventKind.SERVER_ANSWERED, "s-2", 1, 0, 34);
        at(1010, EventKind.CLIENT_RELEASED, "", 1, 1, 42);
        assertEquals(List.of(Rule.DUPLICATE, Rule.DUPLICATE), broken());
    }

    @Test
    void aPaidSetUpThatNeverRanMayBeSentAgainAndRefused() {
        at(1000, EventKind.CLIENT_SENT, paid, 1, 1, 0);
        at(1001, EventKind.SERVER_SET_UP, "s-1", 1, 0, 0);
        at(1005, EventKind.SERVER_ANSWERED, "s-1", 1, 0, 34);
        at(1006, EventKind.SERVER_SET_UP, "s-2", 1, 0, 0);
        at(1008, EventKind.SERVER_ANSWERED, "s-2", 1, 0, 34);
        at(1010, EventKind.CLIENT_RELEASED, "", 1, 1, 42);
        assertEquals(List.of(), broken());
    }

    @Test
    void twoAttemptsOutAndTooManyAreFound() {
        at(1000, EventKind.CLIENT_SENT, safe, 1, 1, 0);
        for (int i = 0; i <= Trial.MAX_ATTEMPTS; i++) {
            at(1001 + 100 * i, EventKind.SERVER_SET_UP, "s-" + i, 1, 0, 0);
            at(1090 + 100 * i, EventKind.SERVER_GIVEN_UP, "s-" + i, 1, 0, 0);
        }
        at(1030, EventKind.SERVER_SET_UP, "s-9", 1, 0, 0);
        at(1031, EventKind.SERVER_GIVEN_UP, "s-9", 1, 0, 0);
        at(1050, EventKind.SERVER_SET_UP, "s-8", 1, 0, 0);
        at(1051, EventKind.SERVER_GIVEN_UP, "s-8", 1, 0, 0);
        at(1405, EventKind.CLIENT_RELEASED, "", 1, 1, 41);
        List<Rule> broken = broken();
        assertTrue(broken.contains(Rule.ATTEMPTS), broken.toString());
        assertEquals(1, broken.stream().filter(Rule.TWO_OUT::equals).count(), "40 ms are within the slack");
    }

    @Test
    void requestsForwardedAfterTheirClientsHaveGoneCountFromTheThirdOn() {
        for (int id = 1; id <= 3; id++) {
            at(1000 * id, EventKind.CLIENT_SENT, safe, id, 1, 0);
            at(1000 * id + 10, EventKind.CLIENT_CANCELLED, safe, id, 1, 0);
            at(1000 * id + 150, EventKind.SERVER_SET_UP, "s-1", id, 0, 0);
        }
        assertEquals(List.of(Rule.GONE_CLIENT), broken());
    }

    @Test
    void whatIsForwardedAfterItsAnswerIsLost() {
        at(1000, EventKind.CLIENT_SENT, safe, 1, 1, 0);
        at(1010, EventKind.CLIENT_RELEASED, "", 1, 1, 42);
        at(1100, EventKind.SERVER_SET_UP, "s-1", 1, 0, 0);
        at(1101, EventKind.SERVER_GIVEN_UP, "s-1", 1, 0, 0);
        assertEquals(List.of(Rule.LOST), broken());
    }

    @Test
    void drainsBindOnceTheyCountAsTold() {
        events.add(new SoakEvent(1000, EventKind.DISCOVERY_EVENT, -1, "s-1", 0, 0, ServerState.DRAINING.ordinal()));
        served(1200, 1, safe);
        served(1400, 2, safe);
        assertEquals(List.of(Rule.DRAIN), broken());
    }

    @Test
    void aChangeWhileDiscoveryIsDownCountsSixSecondsAfterItsReturn() {
        at(900, EventKind.FAULT, FaultKind.DISCOVERY_DOWN.name(), 0, 0, 1000);
        events.add(new SoakEvent(1000, EventKind.DISCOVERY_EVENT, -1, "s-1", 0, 0, ServerState.DRAINING.ordinal()));
        served(8100, 1, safe);
        served(8400, 2, safe);
        assertEquals(List.of(Rule.DRAIN), broken());
    }

    @Test
    void releasesThatStayOutAreFound() {
        served(1000, 1, safe);
        at(2000, EventKind.SERVER_ENDED, "s-1", 1, 0, 16);
        served(3000, 2, safe);
        at(4000, EventKind.CLIENT_CANCELLED, "s-1", 2, 1, 1);
        assertEquals(List.of(Rule.RELEASE, Rule.RELEASE), broken());
    }

    @Test
    void sessionsThatAreCutWithTheirServerAreToldWithinEightSeconds() {
        served(1000, 1, safe);
        served(1010, 2, safe);
        events.add(new SoakEvent(2000, EventKind.SERVER_LOST, -1, "s-1", 0, 0, 0));
        at(9900, EventKind.CLIENT_RELEASED, "", 1, 1, 41);
        assertEquals(List.of(Rule.RELEASE), broken());
    }

    @Test
    void aColdServerThatGetsTooMuchIsFound() {
        events.add(new SoakEvent(900, EventKind.SERVER_STARTED, -1, "s-1", 0, 0, 0));
        events.add(new SoakEvent(950, EventKind.DISCOVERY_EVENT, -1, "s-1", 0, 0, ServerState.SERVING.ordinal()));
        for (int id = 1; id <= 400; id++) {
            served(1000 + id, id, safe);
        }
        assertEquals(List.of(Rule.COLD), broken());
    }

    @Test
    void processesThatEndByThemselvesOrStartLateAreFound() {
        at(5000, EventKind.NODE_EXIT, "", 0, 0, 1);
        at(6000, EventKind.NODE_STARTED, "", 0, 0, 0);
        at(17_000, EventKind.NODE_READY, "", 0, 0, 0);
        assertEquals(List.of(Rule.CRASH, Rule.START), broken());
    }

    @Test
    void badClientsThatGetNothingOrAreServedAreFound() {
        at(5000, EventKind.BAD_CLIENT_DONE, "NOISE", 0, 0, 0);
        at(5001, EventKind.BAD_CLIENT_SERVED, "NOISE", 0, 0, 0);
        assertEquals(List.of(Rule.BAD_CLIENT, Rule.BAD_CLIENT), broken());
    }

    @Test
    void theSameSeedDrawsTheSameTrial() {
        for (long seed = 1; seed <= 50; seed++) {
            assertEquals(TrialGenerator.generate(seed), TrialGenerator.generate(seed));
        }
    }
}
