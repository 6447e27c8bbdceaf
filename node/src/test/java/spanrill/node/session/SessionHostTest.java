package spanrill.node.session;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import spanrill.Control;
import spanrill.SessionControl;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.NoteKind;
import spanrill.SessionControl.Outcome;
import spanrill.SessionControl.Request;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.SessionControl.Settings;
import spanrill.node.TestConfig;
import spanrill.node.config.JsonPairs;
import spanrill.session.EventSink;
import spanrill.session.ManualClock;
import spanrill.setup.FlattenedObject;
import spanrill.setup.SettingsReader;
import spanrill.wire.platform.RequestAttributes;
import spanrill.wire.platform.SetUp;

/** The host on a clock that the test moves, with peers that do what the test says. */
class SessionHostTest {
    private static final Settings SETTINGS = settings();
    private final ManualClock clock = new ManualClock();
    private final Far far = new Far();
    private final Near near = new Near();
    private Near other;
    private final SessionHost host = new SessionHost(
            SETTINGS,
            clock,
            EventSink.none(),
            EventSink.none(),
            far,
            () -> other,
            actions -> new Control(SETTINGS, 7, actions));
    private long ids;

    SessionHostTest() {
        host.start();
        List<Server> servers = new ArrayList<>();
        for (String id : List.of("s-1", "s-2", "s-3")) {
            servers.add(new Server(id, "a", "std", 0, ServerState.READY, 1, Double.NaN));
        }
        host.updateServers(ListKind.KEPT, servers);
        clock.advance(4000);
    }

    private static Settings settings() {
        FlattenedObject pairs = JsonPairs.read(TestConfig.bytes(1, 2, List.of()));
        return new SettingsReader(pairs.section("settings.")).settings();
    }

    private static final class Far implements ServerSide {
        private final List<Attempt> out = new ArrayList<>();
        private final List<String> said = new ArrayList<>();
        private boolean unwritten;

        @Override
        public void setUp(Attempt attempt) {
            out.add(attempt);
            said.add("setUp " + attempt.server());
        }

        @Override
        public boolean giveUp(Attempt attempt) {
            out.remove(attempt);
            said.add("giveUp");
            return unwritten;
        }

        @Override
        public void release(String server, long session) {
            said.add("release " + session);
        }

        @Override
        public void setRung(String server, long session, int rung) {}

        @Override
        public void setEstablishedSessions(String server, int sessions) {}
    }

    private static final class Near implements ClientLink {
        private final List<String> heard = new ArrayList<>();
        private final List<Long> withdrawn = new ArrayList<>();
        private byte[] description;
        private boolean open = true;
        private int standing;

        @Override
        public boolean isWritable() {
            return open;
        }

        @Override
        public void sendAnswer(long session, byte[] told) {
            heard.add("answer " + session);
            description = told;
        }

        @Override
        public void requestWithdrawn(long session) {
            withdrawn.add(session);
        }

        @Override
        public void sendRelease(long session, ReleaseReason end, double stayAwayMs) {
            heard.add(end + " " + session + (stayAwayMs > 0 ? " away" : ""));
        }

        @Override
        public void establishedSessionsChanged(boolean more) {
            standing += more ? 1 : -1;
        }

        @Override
        public void sendMove(long session) {
            heard.add("move " + session);
        }
    }

    private static SetUp asked(long id, String className, String at) {
        return new SetUp(
                id,
                className,
                1000,
                "000000000000000a",
                new RequestAttributes(0, 1, 2, String.format("%016x", id), false, at),
                new byte[] {1});
    }

    private long ask(String className) {
        long id = ++ids;
        host.setUp(asked(id, className, null), near, 1000);
        return id;
    }

    private Attempt out() {
        return far.out.get(far.out.size() - 1);
    }

    @Test
    void aSessionIsSetUpAnsweredAndReleased() {
        long id = ask("free");
        host.onAnswer(out(), new byte[] {9});
        assertArrayEquals(new byte[] {9}, near.description);
        host.onSessionEnded(out().server(), id, Outcome.OK, null);
        host.onReleaseAcknowledged(id);
        clock.advance(9000);
        assertEquals(List.of("answer 1", "OVER 1"), near.heard);
        assertEquals(0, host.sessionCount());
    }

    @Test
    void secondAnswersAndSecondEndsAreNothing() {
        long id = ask("free");
        Attempt attempt = out();
        host.onAnswer(attempt, new byte[0]);
        host.onAnswer(attempt, new byte[0]);
        host.onAttemptEnded(attempt, Outcome.RESET, null);
        host.onSessionEnded(attempt.server(), id, Outcome.OK, null);
        host.onSessionEnded(attempt.server(), id, Outcome.OK, null);
        assertEquals(List.of("answer 1", "OVER 1"), near.heard);
    }

    /** Two guards: a late give-up leaves before a further attempt, and the answer to it is not passed on. */
    @Test
    void aTimeOutIsGivenUpBeforeTheNextAttempt() {
        ask("free");
        Attempt first = out();
        clock.runUntil(() -> far.said.size() >= 3, 1000);
        assertEquals("giveUp", far.said.get(1));
        assertTrue(far.said.get(2).startsWith("setUp") && !far.said.get(2).equals(far.said.get(0)));
        host.onAnswer(first, new byte[0]);
        assertTrue(near.heard.isEmpty(), "the first attempt was given up");
    }

    /** What came in time but lay unread when the timer ran is read first: one more round of the loop. */
    @Test
    void anAnswerReadJustAfterTheTimeOutStillCounts() {
        ask("free");
        Attempt attempt = out();
        clock.runUntil(() -> clock.now() >= attempt.until(), 1000);
        host.onAnswer(attempt, new byte[0]);
        clock.advance(2000);
        assertEquals(List.of("answer 1"), near.heard);
    }

    @Test
    void aPaidSessionThatMayHaveRunFailsAndIsNotSentAgain() {
        ask("paid");
        host.onAttemptEnded(out(), Outcome.RESET, null);
        assertEquals(List.of("FAILED 1"), near.heard);
        assertEquals(1, far.said.size());
        ask("paid");
        host.onAttemptEnded(out(), Outcome.CONNECT_FAILED, null);
        assertEquals(3, far.said.size(), "never ran: sent elsewhere");
    }

    @Test
    void theDeadlineIsAnsweredOnceWithTheAttemptGivenUp() {
        ask("paid");
        clock.advance(1100);
        assertEquals(List.of("FAILED 1"), near.heard);
        assertTrue(far.said.contains("giveUp"));
        assertEquals(0, host.sessionCount());
    }

    /** Guards against a module that forgets: the host answers and ends what is out. */
    @Test
    void aModuleThatSaysNothingIsAnsweredFor() {
        SessionHost alone = new SessionHost(
                SETTINGS, clock, EventSink.none(), EventSink.none(), far, () -> null, actions -> new Silent());
        alone.setUp(asked(77, "free", null), near, 500);
        clock.advance(600);
        assertEquals(List.of("FAILED 77"), near.heard);
    }

    /** Nothing of it was written before its time was up: that proves that a paid session never ran. */
    @Test
    void aPaidAttemptThatWaitedInVainIsRefusedNotFailed() {
        far.unwritten = true;
        long id = ask("paid");
        clock.advance(1100);
        assertEquals(1, near.heard.size());
        assertTrue(near.heard.get(0).startsWith("REFUSED " + id), near.heard.toString());
    }

    /** After a start the server's word comes on its first connection, perhaps before the session is told of. */
    @Test
    void aSessionThatEndedBeforeItWasHandedOverIsReleasedAtOnce() {
        host.onSessionEnded("s-1", 7, Outcome.OK, null);
        host.onSessionEnded("s-1", 8, Outcome.CANCELLED, null);
        host.takeOver(asked(7, "free", "s-1"), near);
        host.takeOver(asked(8, "free", "s-1"), near);
        assertEquals(List.of("OVER 7"), near.heard);
        assertEquals(1, host.sessionCount());
    }

    /** Before a stop ends: each request has its answer, its attempt is given up, and none takes longer. */
    @Test
    void answersAllThatIsOpenBeforeTheProcessEnds() {
        ask("paid");
        host.answerWithin(100);
        ask("free");
        assertTrue(far.out.stream().skip(1).allMatch(attempt -> attempt.until() <= clock.now() + 100));
        clock.advance(99);
        assertEquals(2, host.openRequests());
        clock.advance(1);
        assertEquals(0, host.openRequests());
        assertEquals(List.of("FAILED 1", "FAILED 2"), near.heard);
        assertEquals(2, far.said.stream().filter("giveUp"::equals).count());
    }

    @Test
    void aViewerThatGivesUpIsOwedNothingAndItsAttemptEnds() {
        long id = ask("free");
        assertTrue(host.onClientRelease(id));
        assertFalse(host.onClientRelease(id));
        assertEquals("giveUp", far.said.get(1));
        ask("free");
        host.onClientConnectionEnded(List.of(2L));
        clock.advance(2000);
        assertTrue(near.heard.isEmpty());
        assertEquals(0, host.sessionCount());
    }

    @Test
    void aViewerEndsItsSessionAtItsServer() {
        long id = ask("free");
        host.onAnswer(out(), new byte[0]);
        host.onClientRelease(id);
        assertTrue(far.said.contains("release 1"));
        host.onSessionEnded(out().server(), id, Outcome.CANCELLED, null);
        assertEquals(List.of("answer 1", "OVER 1"), near.heard, "its give-up may have crossed the answer");
    }

    /** A session belongs to no connection: where its own is gone another tells, or the next that serves. */
    @Test
    void theEndOfASessionFindsAnotherConnection() {
        long first = ask("free");
        host.onAnswer(out(), new byte[0]);
        long second = ask("free");
        host.onAnswer(out(), new byte[0]);
        near.open = false;
        other = new Near();
        host.onSessionEnded(far.out.get(0).server(), first, Outcome.OK, null);
        assertEquals(List.of("OVER 1"), other.heard);
        other = null;
        host.onSessionEnded(far.out.get(1).server(), second, Outcome.RESET, null);
        Near next = new Near();
        host.onClientConnectionReady(next);
        host.onClientConnectionReady(next);
        assertEquals(List.of("CUT 2"), next.heard);
        other = next;
        clock.advance(450);
        assertEquals(List.of("CUT 2", "OVER 1", "CUT 2"), next.heard, "not heard: again");
        host.onReleaseAcknowledged(1);
        host.onReleaseAcknowledged(2);
        clock.advance(9000);
        assertEquals(3, next.heard.size());
    }

    /**
     * Guards against a look for each release that piles up: they would take the node's time over a long
     * day.
     */
    @Test
    void whatIsOwedIsLookedAtOnceAtATime() {
        int before = clock.pendingTimers();
        for (int i = 0; i < 50; i++) {
            long id = ask("free");
            host.onAnswer(out(), new byte[0]);
            host.onSessionEnded(out().server(), id, Outcome.OK, null);
            host.onReleaseAcknowledged(id);
        }
        long last = ask("free");
        host.onAnswer(out(), new byte[0]);
        host.onSessionEnded(out().server(), last, Outcome.OK, null);
        clock.advance(150);
        assertTrue(clock.pendingTimers() <= before + 1, "timers: " + before + " then " + clock.pendingTimers());
    }

    @Test
    void sessionsOfAStartStandAndEndWithTheirServer() {
        host.takeOver(asked(50, "free", "s-2"), near);
        host.takeOver(asked(51, "free", "s-9"), near);
        host.onServerLost("s-2");
        host.onServerLost("s-9");
        assertEquals(List.of("CUT 50", "CUT 51"), near.heard);
        assertEquals(0, near.standing);
    }

    /**
     * The server of a session may be listed late; one that never is does not exist, and nothing stands
     * there.
     */
    @Test
    void sessionsAtAServerThatIsNeverListedEnd() {
        host.takeOver(asked(50, "free", "s-8"), near);
        host.takeOver(asked(51, "free", "s-9"), near);
        clock.advance(3000);
        assertEquals(2, near.standing);
        host.updateServers(
                ListKind.CHANGES, List.of(new Server("s-8", "a", "std", 0, ServerState.READY, 1, Double.NaN)));
        clock.advance(3500);
        assertEquals(List.of("CUT 51"), near.heard.subList(0, 1));
        assertEquals(1, near.standing);
    }

    @Test
    void aServerThatStartedAnewHasLostWhatStoodThere() {
        host.takeOver(asked(50, "free", "s-2"), near);
        host.onServerRestarted("s-2", clock.now() - 10);
        assertTrue(near.heard.isEmpty(), "it stands since after the start");
        host.onServerRestarted("s-2", clock.now() + 10);
        assertEquals(List.of("CUT 50"), near.heard);
    }

    /**
     * Guards against a move off a server that has ended before: its viewer would wait for the server's word
     * for good. Seen on days whose servers are replaced.
     */
    @Test
    void aMoveThatTheServerDoesNotConfirmIsFollowedByARelease() {
        SessionHost[] moved = new SessionHost[1];
        Silent module = new Silent();
        moved[0] = new SessionHost(SETTINGS, clock, EventSink.none(), EventSink.none(), far, () -> null, actions -> {
            module.actions = actions;
            return module;
        });
        moved[0].takeOver(asked(60, "free", "s-1"), near);
        moved[0].takeOver(asked(61, "free", "s-1"), near);
        module.actions.move(String.format("%016x", 60));
        module.actions.move(String.format("%016x", 61));
        moved[0].onSessionEnded("s-1", 60, Outcome.CANCELLED, null);
        clock.advance(1000);
        assertEquals(List.of("move 60", "move 61", "CUT 61"), near.heard);
        assertTrue(far.said.contains("release 61") && !far.said.contains("release 60"));
    }

    @Test
    void notesForASessionElsewhereOrOffTheLadderAreDropped() {
        Silent module = new Silent();
        SessionHost told = new SessionHost(
                SETTINGS, clock, EventSink.none(), EventSink.none(), far, () -> null, actions -> module);
        told.takeOver(asked(60, "free", "s-1"), near);
        told.onNote("s-2", 60, NoteKind.DELIVERED, 0.5);
        told.onNote("s-1", 60, NoteKind.RUNG, 3);
        told.onNote("s-1", 60, NoteKind.RUNG, 0.5);
        assertEquals(0, module.notes);
        told.onNote("s-1", 60, NoteKind.RUNG, 2);
        assertEquals(1, module.notes);
    }

    /**
     * Any order of events: one answer each, one attempt out, no paid set-up again without proof, nothing
     * left.
     */
    @Property(tries = 100, seed = "20261201")
    void anyOrderOfEventsKeepsTheRules(@ForAll long seed) {
        // The tries of a property share one instance; each needs a host of its own.
        new SessionHostTest().anyOrder(seed);
    }

    private void anyOrder(long seed) {
        Random random = new Random(seed);
        Map<Long, Boolean> unproven = new HashMap<>();
        Map<Long, String> classes = new HashMap<>();
        for (int step = 0; step < 400; step++) {
            int seen = far.said.size();
            int pick = random.nextInt(10);
            Attempt attempt = far.out.isEmpty() ? null : far.out.get(random.nextInt(far.out.size()));
            if (pick < 3) {
                String name = random.nextBoolean() ? "paid" : "free";
                classes.put(ids + 1, name);
                ask(name);
            } else if (pick < 5 && attempt != null) {
                far.out.remove(attempt);
                host.onAnswer(attempt, new byte[0]);
            } else if (pick < 8 && attempt != null) {
                far.out.remove(attempt);
                Outcome outcome = List.of(
                                Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.MOOT)
                        .get(random.nextInt(5));
                unproven.merge(attempt.session(), !outcome.neverRan(), Boolean::logicalOr);
                host.onAttemptEnded(attempt, outcome, null);
            } else if (pick == 8 && ids > 0) {
                host.onClientRelease(1 + random.nextInt((int) ids));
            } else {
                clock.advance(random.nextInt(300));
            }
            assertEquals(
                    far.out.size(),
                    far.out.stream().map(Attempt::session).distinct().count(),
                    "one attempt out");
            for (Attempt open :
                    far.out.subList(Math.max(0, far.out.size() - (far.said.size() - seen)), far.out.size())) {
                assertFalse(
                        classes.get(open.session()).equals("paid") && unproven.getOrDefault(open.session(), false),
                        "sent again without proof");
            }
        }
        clock.advance(5000);
        for (long id = 1; id <= ids; id++) {
            String suffix = " " + id;
            long answers = near.heard.stream()
                    .filter(h -> h.equals("answer" + suffix)
                            || h.startsWith("REFUSED" + suffix + " ")
                            || h.equals("REFUSED" + suffix)
                            || h.equals("FAILED" + suffix))
                    .count();
            assertTrue(answers <= 1, "one answer to " + id);
            if (unproven.getOrDefault(id, false) && classes.get(id).equals("paid")) {
                assertTrue(
                        near.heard.stream()
                                .noneMatch(h -> h.equals("REFUSED" + suffix) || h.startsWith("REFUSED" + suffix + " ")),
                        "refused unproven");
            }
        }
        assertEquals(0, host.openRequests());
        assertTrue(far.out.isEmpty(), "nothing is left out");
    }

    /** A module that never acts, or acts when the test says so. */
    private static final class Silent implements SessionControl {
        private Actions actions;
        private int notes;

        @Override
        public void start(double now) {}

        @Override
        public void servers(double now, ListKind kind, List<Server> servers) {}

        @Override
        public void request(double now, Request request) {}

        @Override
        public void takenOver(double now, Request request, String server) {}

        @Override
        public void playing(double now, String request, String server, double tookMs) {}

        @Override
        public void ended(double now, String request, boolean closed, Outcome outcome, String server, Load load) {}

        @Override
        public void note(double now, String request, String server, NoteKind kind, double value) {
            notes++;
        }

        @Override
        public void gone(double now, String request) {}

        @Override
        public void timer(double now, String token) {}
    }
}
