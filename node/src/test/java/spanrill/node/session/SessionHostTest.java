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

/** Tests the session host on a manual clock, with fake servers and a fake client connection. */
class SessionHostTest {
    private static final Settings SETTINGS = settings();
    private final ManualClock clock = new ManualClock();
    private final FakeServerSide serverSide = new FakeServerSide();
    private final FakeClientLink client = new FakeClientLink();
    private FakeClientLink otherClient;
    private final SessionHost host = new SessionHost(
            SETTINGS,
            clock,
            EventSink.none(),
            EventSink.none(),
            serverSide,
            () -> otherClient == null ? List.of() : List.of(otherClient),
            actions -> new Control(SETTINGS, 7, actions));
    private long lastId;

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
        FlattenedObject config = JsonPairs.read(TestConfig.bytes(1, 2, List.of()));
        return new SettingsReader(config.section("settings.")).settings();
    }

    private static final class FakeServerSide implements ServerSide {
        private final List<Attempt> openAttempts = new ArrayList<>();
        private final List<String> calls = new ArrayList<>();
        private boolean nothingWritten;

        @Override
        public void setUp(Attempt attempt) {
            openAttempts.add(attempt);
            calls.add("setUp " + attempt.server());
        }

        @Override
        public boolean giveUp(Attempt attempt) {
            openAttempts.remove(attempt);
            calls.add("giveUp");
            return nothingWritten;
        }

        @Override
        public void release(String server, long session) {
            calls.add("release " + session);
        }

        @Override
        public void setRung(String server, long session, int rung) {}

        @Override
        public void setEstablishedSessions(String server, int sessions) {}
    }

    private static final class FakeClientLink implements ClientLink {
        private final List<String> messages = new ArrayList<>();
        private final List<Long> withdrawn = new ArrayList<>();
        private byte[] description;
        private boolean writable = true;
        private int establishedSessions;

        @Override
        public boolean isWritable() {
            return writable;
        }

        @Override
        public void sendAnswer(long session, byte[] answeredDescription) {
            messages.add("answer " + session);
            description = answeredDescription;
        }

        @Override
        public void requestWithdrawn(long session) {
            withdrawn.add(session);
        }

        @Override
        public void sendRelease(long session, ReleaseReason reason, double stayAwayMs) {
            messages.add(reason + " " + session + (stayAwayMs > 0 ? " stayAway" : ""));
        }

        @Override
        public void establishedSessionsChanged(boolean added) {
            establishedSessions += added ? 1 : -1;
        }

        @Override
        public void sendMove(long session) {
            messages.add("move " + session);
        }
    }

    private static SetUp newSetUp(long id, String className, String server) {
        return new SetUp(
                id,
                className,
                1000,
                "000000000000000a",
                new RequestAttributes(0, 1, 2, String.format("%016x", id), false, server),
                new byte[] {1});
    }

    private long sendSetUp(String className) {
        long id = ++lastId;
        host.setUp(newSetUp(id, className, null), client, 1000);
        return id;
    }

    private Attempt lastAttempt() {
        return serverSide.openAttempts.get(serverSide.openAttempts.size() - 1);
    }

    @Test
    void releaseIsSentWhenAnsweredSessionEnds() {
        long id = sendSetUp("free");
        host.onAnswer(lastAttempt(), new byte[] {9});
        assertArrayEquals(new byte[] {9}, client.description);
        host.onSessionEnded(lastAttempt().server(), id, Outcome.OK, null);
        host.onReleaseAcknowledged(id);
        clock.advance(9000);
        assertEquals(List.of("answer 1", "OVER 1"), client.messages);
        assertEquals(0, host.sessionCount());
    }

    @Test
    void duplicateAnswerAndDuplicateEndAreIgnored() {
        long id = sendSetUp("free");
        Attempt attempt = lastAttempt();
        host.onAnswer(attempt, new byte[0]);
        host.onAnswer(attempt, new byte[0]);
        host.onAttemptEnded(attempt, Outcome.RESET, null);
        host.onSessionEnded(attempt.server(), id, Outcome.OK, null);
        host.onSessionEnded(attempt.server(), id, Outcome.OK, null);
        assertEquals(List.of("answer 1", "OVER 1"), client.messages);
    }

    /** The give-up is sent before the next attempt, and a late answer to the first attempt is not forwarded. */
    @Test
    void timedOutAttemptIsGivenUpBeforeNextAttempt() {
        sendSetUp("free");
        Attempt first = lastAttempt();
        clock.runUntil(() -> serverSide.calls.size() >= 3, 1000);
        assertEquals("giveUp", serverSide.calls.get(1));
        assertTrue(serverSide.calls.get(2).startsWith("setUp")
                && !serverSide.calls.get(2).equals(serverSide.calls.get(0)));
        host.onAnswer(first, new byte[0]);
        assertTrue(client.messages.isEmpty(), "answer to the attempt that was given up");
    }

    /** An answer may have arrived in time and be unread when the timer fires; it is read in the next loop iteration. */
    @Test
    void answerReadOneIterationAfterDeadlineIsAccepted() {
        sendSetUp("free");
        Attempt attempt = lastAttempt();
        clock.runUntil(() -> clock.now() >= attempt.deadline(), 1000);
        host.onAnswer(attempt, new byte[0]);
        clock.advance(2000);
        assertEquals(List.of("answer 1"), client.messages);
    }

    @Test
    void paidSetUpIsRetriedOnlyWithProofThatItNeverRan() {
        sendSetUp("paid");
        host.onAttemptEnded(lastAttempt(), Outcome.RESET, null);
        assertEquals(List.of("FAILED 1"), client.messages);
        assertEquals(1, serverSide.calls.size());
        sendSetUp("paid");
        host.onAttemptEnded(lastAttempt(), Outcome.CONNECT_FAILED, null);
        assertEquals(3, serverSide.calls.size(), "retried elsewhere, since the set-up never ran");
    }

    @Test
    void deadlineFailsRequestOnceAndGivesUpAttempt() {
        sendSetUp("paid");
        clock.advance(1100);
        assertEquals(List.of("FAILED 1"), client.messages);
        assertTrue(serverSide.calls.contains("giveUp"));
        assertEquals(0, host.sessionCount());
    }

    /** If the module never answers, the host fails the request and gives up its attempt. */
    @Test
    void requestFailsAfterDeadlineWhenModuleStaysSilent() {
        SessionHost passiveHost = new SessionHost(
                SETTINGS,
                clock,
                EventSink.none(),
                EventSink.none(),
                serverSide,
                () -> null,
                actions -> new PassiveModule());
        passiveHost.setUp(newSetUp(77, "free", null), client, 500);
        clock.advance(600);
        assertEquals(List.of("FAILED 77"), client.messages);
    }

    /** No byte of the set-up was written before its deadline, which proves that it never ran. */
    @Test
    void paidAttemptThatWasNeverWrittenIsRefusedAtDeadline() {
        serverSide.nothingWritten = true;
        long id = sendSetUp("paid");
        clock.advance(1100);
        assertEquals(1, client.messages.size());
        assertTrue(client.messages.get(0).startsWith("REFUSED " + id), client.messages.toString());
    }

    /** After a start, a server may report the end of a session before the session is handed over to the node. */
    @Test
    void sessionThatEndedBeforeTakeOverIsReleasedAtOnce() {
        host.onSessionEnded("s-1", 7, Outcome.OK, null);
        host.onSessionEnded("s-1", 8, Outcome.CANCELLED, null);
        host.takeOver(newSetUp(7, "free", "s-1"), client);
        host.takeOver(newSetUp(8, "free", "s-1"), client);
        assertEquals(List.of("OVER 7"), client.messages);
        assertEquals(1, host.sessionCount());
    }

    /**
     * Before the process ends each request is answered, open attempts are given up, and no new attempt lasts longer.
     */
    @Test
    void openRequestsAreFailedBeforeProcessEnds() {
        sendSetUp("paid");
        host.answerWithin(100);
        sendSetUp("free");
        assertTrue(
                serverSide.openAttempts.stream().skip(1).allMatch(attempt -> attempt.deadline() <= clock.now() + 100));
        clock.advance(99);
        assertEquals(2, host.openRequests());
        clock.advance(1);
        assertEquals(0, host.openRequests());
        assertEquals(List.of("FAILED 1", "FAILED 2"), client.messages);
        assertEquals(2, serverSide.calls.stream().filter("giveUp"::equals).count());
    }

    @Test
    void withdrawnSetUpGetsNoAnswerAndItsAttemptIsGivenUp() {
        long id = sendSetUp("free");
        assertTrue(host.onClientRelease(id));
        assertFalse(host.onClientRelease(id));
        assertEquals("giveUp", serverSide.calls.get(1));
        sendSetUp("free");
        host.onClientConnectionEnded(List.of(2L));
        clock.advance(2000);
        assertTrue(client.messages.isEmpty());
        assertEquals(0, host.sessionCount());
    }

    @Test
    void sessionReleasedByViewerIsReleasedAtServer() {
        long id = sendSetUp("free");
        host.onAnswer(lastAttempt(), new byte[0]);
        host.onClientRelease(id);
        assertTrue(serverSide.calls.contains("release 1"));
        host.onSessionEnded(lastAttempt().server(), id, Outcome.CANCELLED, null);
        assertEquals(
                List.of("answer 1", "OVER 1"), client.messages, "the viewer's release may have crossed the answer");
    }

    /** A session is not bound to a connection: another one takes its release, or the next one that is ready. */
    @Test
    void releaseIsSentOnAnotherConnectionWhenOwnIsNotWritable() {
        long first = sendSetUp("free");
        host.onAnswer(lastAttempt(), new byte[0]);
        long second = sendSetUp("free");
        host.onAnswer(lastAttempt(), new byte[0]);
        client.writable = false;
        otherClient = new FakeClientLink();
        host.onSessionEnded(serverSide.openAttempts.get(0).server(), first, Outcome.OK, null);
        assertEquals(List.of("OVER 1"), otherClient.messages);
        otherClient = null;
        host.onSessionEnded(serverSide.openAttempts.get(1).server(), second, Outcome.RESET, null);
        FakeClientLink next = new FakeClientLink();
        host.onClientConnectionReady(next);
        host.onClientConnectionReady(next);
        assertEquals(List.of("CUT 2"), next.messages);
        otherClient = next;
        clock.advance(450);
        assertEquals(List.of("CUT 2", "OVER 1", "CUT 2"), next.messages, "unacknowledged releases are sent again");
        host.onReleaseAcknowledged(1);
        host.onReleaseAcknowledged(2);
        clock.advance(9000);
        assertEquals(3, next.messages.size());
    }

    /**
     * Guards against one timer for each release: the timers would accumulate and take the node's time during a long
     * run.
     */
    @Test
    void pendingReleasesShareOneTimer() {
        int timersBefore = clock.pendingTimers();
        for (int i = 0; i < 50; i++) {
            long id = sendSetUp("free");
            host.onAnswer(lastAttempt(), new byte[0]);
            host.onSessionEnded(lastAttempt().server(), id, Outcome.OK, null);
            host.onReleaseAcknowledged(id);
        }
        long last = sendSetUp("free");
        host.onAnswer(lastAttempt(), new byte[0]);
        host.onSessionEnded(lastAttempt().server(), last, Outcome.OK, null);
        clock.advance(150);
        assertTrue(
                clock.pendingTimers() <= timersBefore + 1,
                "timers: " + timersBefore + " then " + clock.pendingTimers());
    }

    @Test
    void takenOverSessionsEndWhenTheirServerIsLost() {
        host.takeOver(newSetUp(50, "free", "s-2"), client);
        host.takeOver(newSetUp(51, "free", "s-9"), client);
        host.onServerLost("s-2");
        host.onServerLost("s-9");
        assertEquals(List.of("CUT 50", "CUT 51"), client.messages);
        assertEquals(0, client.establishedSessions);
    }

    /**
     * The server of a session may be listed late. A server that is never listed does not exist and holds no sessions.
     */
    @Test
    void takenOverSessionEndsWhenItsServerIsNeverListed() {
        host.takeOver(newSetUp(50, "free", "s-8"), client);
        host.takeOver(newSetUp(51, "free", "s-9"), client);
        clock.advance(3000);
        assertEquals(2, client.establishedSessions);
        host.updateServers(
                ListKind.CHANGES, List.of(new Server("s-8", "a", "std", 0, ServerState.READY, 1, Double.NaN)));
        clock.advance(3500);
        assertEquals(List.of("CUT 51"), client.messages.subList(0, 1));
        assertEquals(1, client.establishedSessions);
    }

    @Test
    void serverRestartEndsSessionsEstablishedBeforeIt() {
        host.takeOver(newSetUp(50, "free", "s-2"), client);
        host.onServerRestarted("s-2", clock.now() - 10);
        assertTrue(client.messages.isEmpty(), "the session was established after the start");
        host.onServerRestarted("s-2", clock.now() + 10);
        assertEquals(List.of("CUT 50"), client.messages);
    }

    /**
     * Guards against a move off a server that has already ended: without the release the viewer would wait forever for
     * the server to confirm. Happens when servers are replaced.
     */
    @Test
    void unconfirmedMoveIsFollowedByRelease() {
        SessionHost[] hosts = new SessionHost[1];
        PassiveModule module = new PassiveModule();
        hosts[0] = new SessionHost(
                SETTINGS, clock, EventSink.none(), EventSink.none(), serverSide, () -> null, actions -> {
                    module.actions = actions;
                    return module;
                });
        hosts[0].takeOver(newSetUp(60, "free", "s-1"), client);
        hosts[0].takeOver(newSetUp(61, "free", "s-1"), client);
        module.actions.move(String.format("%016x", 60));
        module.actions.move(String.format("%016x", 61));
        hosts[0].onSessionEnded("s-1", 60, Outcome.CANCELLED, null);
        clock.advance(1000);
        assertEquals(List.of("move 60", "move 61", "CUT 61"), client.messages);
        assertTrue(serverSide.calls.contains("release 61") && !serverSide.calls.contains("release 60"));
    }

    @Test
    void notesOfOtherServersOrWithInvalidRungsAreDropped() {
        PassiveModule module = new PassiveModule();
        SessionHost passiveHost = new SessionHost(
                SETTINGS, clock, EventSink.none(), EventSink.none(), serverSide, () -> null, actions -> module);
        passiveHost.takeOver(newSetUp(60, "free", "s-1"), client);
        passiveHost.onNote("s-2", 60, NoteKind.DELIVERED, 0.5);
        passiveHost.onNote("s-1", 60, NoteKind.RUNG, 3);
        passiveHost.onNote("s-1", 60, NoteKind.RUNG, 0.5);
        assertEquals(0, module.notes);
        passiveHost.onNote("s-1", 60, NoteKind.RUNG, 2);
        assertEquals(1, module.notes);
    }

    /**
     * For any order of events: at most one answer and one open attempt for each request, no retry of a paid set-up
     * without proof that it never ran, and no open request or attempt at the end.
     */
    @Property(tries = 100, seed = "20261201")
    void requestRulesHoldForAnyOrderOfEvents(@ForAll long seed) {
        // All tries of a property share one test instance, but each try needs its own host.
        new SessionHostTest().checkRandomEvents(seed);
    }

    private void checkRandomEvents(long seed) {
        Random random = new Random(seed);
        Map<Long, Boolean> unproven = new HashMap<>();
        Map<Long, String> classesById = new HashMap<>();
        for (int step = 0; step < 400; step++) {
            int callsBefore = serverSide.calls.size();
            int event = random.nextInt(10);
            Attempt attempt = serverSide.openAttempts.isEmpty()
                    ? null
                    : serverSide.openAttempts.get(random.nextInt(serverSide.openAttempts.size()));
            if (event < 3) {
                String className = random.nextBoolean() ? "paid" : "free";
                classesById.put(lastId + 1, className);
                sendSetUp(className);
            } else if (event < 5 && attempt != null) {
                serverSide.openAttempts.remove(attempt);
                host.onAnswer(attempt, new byte[0]);
            } else if (event < 8 && attempt != null) {
                serverSide.openAttempts.remove(attempt);
                Outcome outcome = List.of(
                                Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.MOOT)
                        .get(random.nextInt(5));
                unproven.merge(attempt.session(), !outcome.neverRan(), Boolean::logicalOr);
                host.onAttemptEnded(attempt, outcome, null);
            } else if (event == 8 && lastId > 0) {
                host.onClientRelease(1 + random.nextInt((int) lastId));
            } else {
                clock.advance(random.nextInt(300));
            }
            assertEquals(
                    serverSide.openAttempts.size(),
                    serverSide.openAttempts.stream()
                            .map(Attempt::session)
                            .distinct()
                            .count(),
                    "one open attempt for each session");
            for (Attempt newAttempt : serverSide.openAttempts.subList(
                    Math.max(0, serverSide.openAttempts.size() - (serverSide.calls.size() - callsBefore)),
                    serverSide.openAttempts.size())) {
                assertFalse(
                        classesById.get(newAttempt.session()).equals("paid")
                                && unproven.getOrDefault(newAttempt.session(), false),
                        "retried without proof");
            }
        }
        clock.advance(5000);
        for (long id = 1; id <= lastId; id++) {
            String suffix = " " + id;
            long answers = client.messages.stream()
                    .filter(message -> message.equals("answer" + suffix)
                            || message.startsWith("REFUSED" + suffix + " ")
                            || message.equals("REFUSED" + suffix)
                            || message.equals("FAILED" + suffix))
                    .count();
            assertTrue(answers <= 1, "more than one answer to session " + id);
            if (unproven.getOrDefault(id, false) && classesById.get(id).equals("paid")) {
                assertTrue(
                        client.messages.stream()
                                .noneMatch(message -> message.equals("REFUSED" + suffix)
                                        || message.startsWith("REFUSED" + suffix + " ")),
                        "refused without proof");
            }
        }
        assertEquals(0, host.openRequests());
        assertTrue(serverSide.openAttempts.isEmpty(), "open attempts at the end");
    }

    /** A module that never acts by itself; a test may call its actions. */
    private static final class PassiveModule implements SessionControl {
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

    // ---- set-ups that are repeated after the end of their connection

    /** Repeats a set-up on a new connection; returns what the new connection is sent. */
    private List<String> repeat(long id, String className) {
        FakeClientLink newLink = new FakeClientLink();
        host.setUp(newSetUp(id, className, null), newLink, 1000);
        return newLink.messages;
    }

    /** Guards against a paid session that is set up twice because its connection ended under its set-up (review/6). */
    @Test
    void paidSetUpRepeatedAfterTheEndOfItsConnectionFails() {
        long id = sendSetUp("paid");
        host.onClientConnectionEnded(List.of(id));
        assertEquals(List.of("FAILED " + id), repeat(id, "paid"));
        clock.advance(10_000);
        assertEquals(List.of("FAILED " + id), repeat(id, "paid"), "a later repetition too");
        assertEquals(
                1,
                serverSide.calls.stream()
                        .filter(call -> call.startsWith("setUp"))
                        .count());
        assertEquals(0, host.sessionCount());
    }

    @Test
    void paidSetUpRepeatedAfterItsFailureOrItsEndFails() {
        long failed = sendSetUp("paid");
        host.onAttemptEnded(lastAttempt(), Outcome.RESET, null);
        assertEquals(List.of("FAILED " + failed), client.messages);
        long ended = sendSetUp("paid");
        String server = lastAttempt().server();
        host.onAnswer(lastAttempt(), new byte[0]);
        host.onSessionEnded(server, ended, Outcome.OK, null);
        assertEquals(List.of("FAILED " + failed), repeat(failed, "paid"));
        assertEquals(List.of("FAILED " + ended), repeat(ended, "paid"));
    }

    @Test
    void repeatedSetUpIsServedWhereNothingWasWrittenOrTheClassMayRunTwice() {
        serverSide.nothingWritten = true;
        long unwritten = sendSetUp("paid");
        host.onClientConnectionEnded(List.of(unwritten));
        assertEquals(List.of(), repeat(unwritten, "paid"));
        assertEquals(unwritten, lastAttempt().session());
        serverSide.nothingWritten = false;
        long repeatable = sendSetUp("free");
        host.onClientConnectionEnded(List.of(repeatable));
        assertEquals(List.of(), repeat(repeatable, "free"));
        assertEquals(repeatable, lastAttempt().session());
    }

    /** The record of paid sessions does not grow with the time that the process runs. */
    @Test
    void paidSetUpIsForgottenAfterAMinute() {
        long id = sendSetUp("paid");
        host.onClientConnectionEnded(List.of(id));
        clock.advance(61_000);
        assertEquals(List.of(), repeat(id, "paid"));
    }

    // ---- limits on sessions that are handed over

    private int countTakenOver(int offered, java.util.function.IntFunction<String> server) {
        int taken = 0;
        for (int i = 0; i < offered; i++) {
            taken += host.takeOver(newSetUp(++lastId, "free", server.apply(i)), client) ? 1 : 0;
        }
        return taken;
    }

    /** Guards against memory that a client fills with sessions it says to play at a server (issue 60, picture b). */
    @Test
    void noMoreSessionsAreTakenOverThanAServerCanHold() {
        // Twice the 500 streams of the settings: some sessions may have ended there.
        assertEquals(1000, countTakenOver(1500, i -> "s-1"));
        assertEquals(10, countTakenOver(10, i -> "s-2"), "another server");
    }

    @Test
    void sessionsTakenOverAtEverNewServersAreBoundedTogether() {
        assertEquals(4096, countTakenOver(5000, i -> "unknown-" + i));
        clock.advance(7000);
        assertEquals(0, host.sessionCount(), "unlisted servers hold no sessions");
        assertEquals(10, countTakenOver(10, i -> "s-1"));
    }
}
