package spanrill.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import spanrill.SessionControl;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.Outcome;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.decisions.AnswerDeadline;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.SessionEnd;

/**
 * Runs the core on a manual clock with a scripted box client, to test orders of events that are rare on a real network.
 */
class SessionCoreTest {
    private final ManualClock clock = new ManualClock();
    private final FakeBoxes boxes = new FakeBoxes();
    private final Deque<String> answers = new ArrayDeque<>();
    private SessionCore core;
    private long sessionCount;

    /** A set-up that was sent and has no outcome yet. */
    private record PendingSetUp(BoxClient.SetUpRequest request, BoxClient.AttemptListener listener) {}

    private static final class FakeBoxes implements BoxClient {
        private final Deque<PendingSetUp> setUps = new ArrayDeque<>();
        private final List<String> commands = new ArrayList<>();
        private final List<Consumer<Load>> releases = new ArrayList<>();
        private Outcome immediateOutcome;

        @Override
        public Attempt setUp(BoxClient.SetUpRequest request, AttemptListener listener) {
            setUps.add(new PendingSetUp(request, listener));
            if (immediateOutcome != null) {
                listener.onEnded(immediateOutcome, null);
            }
            return reason -> {
                commands.add("abandon " + reason);
                return OutcomeTable.outcomeOf(OutcomeTable.Stage.WRITTEN, reason);
            };
        }

        @Override
        public void setRung(String box, String key, int rung) {
            commands.add("rung " + rung);
        }

        @Override
        public void release(String box, String key, Consumer<Load> onReleased) {
            commands.add("release " + key);
            releases.add(onReleased);
        }
    }

    private final class RecordingCall implements ViewerCall {
        @Override
        public void onPlaying(Session session) {
            answers.add("plays " + session.id());
        }

        @Override
        public void onRefused(double retryAfterMs) {
            answers.add("refused");
        }

        @Override
        public void onFailed() {
            answers.add("failed");
        }

        @Override
        public void onUnusable(ViewerCall.UnusableReason reason) {
            answers.add(reason.toString());
        }
    }

    private static final List<SessionControl.ServiceClass> CLASSES = List.of(
            new SessionControl.ServiceClass("free", 200, 1, false, 0, 4, 1, 0),
            new SessionControl.ServiceClass("paid", 200, 3, true, 1, 4, 1, 0));

    static CoreSettings settings() {
        SessionControl.Rules rules = new SessionControl.Rules(0, 0.5, 2, 1500, Double.NaN, Double.NaN, Double.NaN);
        SessionControl.Settings module = new SessionControl.Settings(
                0,
                1,
                "a",
                CLASSES,
                List.of(),
                List.of(new SessionControl.Kind("std", 24)),
                List.of(200.0, 350.0, 600.0, 1000.0, 1700.0),
                List.of(0.2, 0.4, 0.6, 0.8, 1.0),
                4,
                1,
                40_000,
                10_000,
                30_000,
                6,
                500,
                800,
                3000,
                5,
                2000,
                0,
                1,
                rules);
        AnswerDeadline deadline = new AnswerDeadline(500, 50);
        return new CoreSettings(
                module,
                1,
                Map.of("free", new SessionType(false, 0, 1, deadline), "paid", new SessionType(true, 1, 1, deadline)),
                8000,
                100,
                250,
                1000,
                2000);
    }

    private SessionCore newCore() {
        return new SessionCore(
                settings(),
                new SessionCore.Host(
                        clock, EventSink.none(), SpentTokenStore.none(), () -> String.format("%022d", ++sessionCount)));
    }

    @BeforeEach
    void start() {
        core = newCore();
        core.start(boxes);
        core.updateCatalogue(Map.of("title", new Title("title", 0, 4, 60_000, 2000)));
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(new Server("s" + i, "a", "std", i, ServerState.READY, 1, Double.NaN));
        }
        core.updateServers(ListKind.WHOLE, servers);
    }

    private void execute(Runnable action) {
        action.run();
    }

    private RecordingCall request(String token, String className) {
        RecordingCall call = new RecordingCall();
        execute(() -> core.requestSession(
                new ViewerRequest(token, clock.now(), clock.now() + 60_000, "title", className, null, "v", 4), call));
        return call;
    }

    private PendingSetUp nextSetUp() {
        PendingSetUp setUp = clock.runUntil(() -> !boxes.setUps.isEmpty(), 5000) ? boxes.setUps.poll() : null;
        assertTrue(setUp != null, "no set-up was sent");
        return setUp;
    }

    private String nextAnswer() {
        String answer = clock.runUntil(() -> !answers.isEmpty(), 5000) ? answers.poll() : null;
        assertTrue(answer != null, "no answer was given");
        return answer;
    }

    @Test
    void answerTakenBeforeATimeOutThatIsDueIsTheOnlyOutcome() {
        request("t", "paid");
        PendingSetUp setUp = nextSetUp();
        // The time-out is due when this event ends, but the box's answer is handled first.
        execute(() -> {
            clock.advanceWithoutTimers(600);
            setUp.listener().onPlaying();
        });
        assertTrue(nextAnswer().startsWith("plays"));
        execute(() -> {});
        assertEquals(0, answers.size());
        assertEquals(1, core.sessionCount());
    }

    @Test
    void answerAfterTheTimeOutIsIgnored() {
        request("t", "paid");
        PendingSetUp setUp = nextSetUp();
        assertEquals("failed", nextAnswer());
        execute(() -> setUp.listener().onPlaying());
        execute(() -> setUp.listener().onEnded(Outcome.FULL, null));
        assertEquals(0, answers.size());
        assertEquals(List.of("abandon TIMED_OUT"), boxes.commands);
        assertEquals(0, boxes.setUps.size());
        request("t", "paid");
        assertEquals("failed", nextAnswer());
        assertEquals(0, boxes.setUps.size(), "the set-up was repeated");
    }

    @Test
    void rejectionWithinTheSetUpCallIsOneOutcomePerHolder() {
        boxes.immediateOutcome = Outcome.FULL;
        request("t", "paid");
        assertEquals("refused", nextAnswer());
        // Each of the four holders rejected the attempt with proof that it never ran, one after the other.
        assertEquals(4, boxes.setUps.size());
        assertEquals(0, core.sessionCount());
    }

    @Test
    void tokenOnTwoConnectionsGetsOneSetUpAndTwoAnswers() {
        request("t", "paid");
        request("t", "paid");
        PendingSetUp setUp = nextSetUp();
        assertEquals(0, boxes.setUps.size());
        execute(setUp.listener()::onPlaying);
        assertEquals(nextAnswer(), nextAnswer());
        request("t", "paid");
        assertTrue(nextAnswer().startsWith("plays"));
        assertEquals(1, core.sessionCount());
    }

    @Test
    void setUpIsCancelledWhenTheLastWaitingCallIsCancelled() {
        RecordingCall first = request("t", "free");
        RecordingCall second = request("t", "free");
        nextSetUp();
        execute(() -> core.cancelCall(first));
        assertEquals(List.of(), boxes.commands);
        execute(() -> core.cancelCall(second));
        assertEquals(List.of("abandon CANCELLED"), boxes.commands);
        assertEquals(0, core.sessionCount());
        assertEquals(0, answers.size());
    }

    @Test
    void paidTokenFailsAfterItsViewerLeftDuringSetUp() {
        RecordingCall call = request("t", "paid");
        nextSetUp();
        execute(() -> core.cancelCall(call));
        request("t", "paid");
        assertEquals("failed", nextAnswer());
        assertEquals(0, boxes.setUps.size());
    }

    @Test
    void freeSessionIsRetriedAtAnotherBoxAfterAReset() {
        request("t", "free");
        PendingSetUp first = nextSetUp();
        execute(() -> first.listener().onEnded(Outcome.RESET, null));
        PendingSetUp second = nextSetUp();
        assertTrue(!second.request().box().equals(first.request().box()));
        execute(second.listener()::onPlaying);
        assertTrue(nextAnswer().startsWith("plays"));
    }

    @Test
    void lostBoxEndsItsSessionsAndTheirTokensAreUsed() {
        request("t", "free");
        PendingSetUp setUp = nextSetUp();
        execute(setUp.listener()::onPlaying);
        String id = nextAnswer().substring("plays ".length());
        execute(() -> core.handleBoxLost(setUp.request().box(), SessionEnd.BOX_GONE));
        execute(() -> assertEquals(SessionEnd.BOX_GONE, core.findSession(id).endReason()));
        request("t", "free");
        assertEquals("USED", nextAnswer());
        assertEquals(0, core.sessionCount());
    }

    @Test
    void sessionEndedByItsViewerIsReleased() {
        request("t", "free");
        PendingSetUp setUp = nextSetUp();
        execute(setUp.listener()::onPlaying);
        nextAnswer();
        execute(() -> core.endSession(core.findSession("nobody") == null ? sessionOf(setUp) : null));
        assertEquals(List.of("release " + setUp.request().key()), boxes.commands);
        execute(() -> boxes.releases.get(0).accept(null));
        assertEquals(0, core.sessionCount());
    }

    private Session sessionOf(PendingSetUp setUp) {
        return core.findSession(setUp.request().key().substring(0, 22));
    }

    @Test
    void moveReleasesFirstAndDoesNotSpendTheTokenAgain() {
        request("t", "paid");
        PendingSetUp setUp = nextSetUp();
        assertTrue(setUp.request().spends());
        execute(setUp.listener()::onPlaying);
        nextAnswer();
        Session session = sessionOf(setUp);
        execute(() -> core.move(session.id() + "-0"));
        assertEquals("release " + setUp.request().key(), boxes.commands.get(0));
        assertEquals(0, boxes.setUps.size(), "set up before the old box released the session");
        execute(() -> boxes.releases.get(0).accept(null));
        PendingSetUp secondSetUp = nextSetUp();
        assertEquals(setUp.request().key(), secondSetUp.request().continues());
        assertTrue(!secondSetUp.request().spends());
        execute(secondSetUp.listener()::onPlaying);
        execute(() -> assertEquals(secondSetUp.request().box(), session.box()));
        assertEquals(0, answers.size(), "a move is no answer");
    }

    @Test
    void moveContinuesAfterTheTimeOutOfASilentOldBox() {
        request("t", "free");
        PendingSetUp setUp = nextSetUp();
        execute(setUp.listener()::onPlaying);
        nextAnswer();
        execute(() -> core.move(sessionOf(setUp).id() + "-0"));
        PendingSetUp secondSetUp = nextSetUp();
        execute(() -> boxes.releases.get(0).accept(null));
        execute(secondSetUp.listener()::onPlaying);
        assertEquals(0, boxes.setUps.size(), "the moved session was placed twice");
    }

    @Test
    void idleSessionIsReleasedWithReasonIdle() {
        request("t", "free");
        PendingSetUp setUp = nextSetUp();
        execute(setUp.listener()::onPlaying);
        nextAnswer();
        Session session = sessionOf(setUp);
        clock.advance(7000);
        core.recordActivity(session);
        clock.advance(7000);
        assertEquals(1, core.sessionCount(), "the last activity was 7 s ago");
        clock.advance(1500);
        assertEquals(SessionEnd.IDLE, session.endReason());
        assertEquals(List.of("release " + setUp.request().key()), boxes.commands);
    }

    @Test
    void moveRefusedByAllBoxesEndsTheSessionWithARetryDelay() {
        request("t", "free");
        PendingSetUp setUp = nextSetUp();
        execute(setUp.listener()::onPlaying);
        nextAnswer();
        Session session = sessionOf(setUp);
        core.move(session.id() + "-0");
        boxes.immediateOutcome = Outcome.FULL;
        boxes.releases.get(0).accept(null);
        clock.advance(1000);
        assertEquals(SessionEnd.MOVE_REFUSED, session.endReason());
        assertTrue(session.retryAfterMs() > 0);
        assertEquals(0, answers.size(), "the request had been answered before");
    }

    @Test
    void endedSessionIsRemovedAfterItsRetentionTime() {
        request("t", "free");
        PendingSetUp setUp = nextSetUp();
        execute(setUp.listener()::onPlaying);
        nextAnswer();
        core.endSession(sessionOf(setUp));
        clock.advance(119_000);
        assertEquals(SessionEnd.ENDED, sessionOf(setUp).endReason());
        clock.advance(2000);
        assertEquals(null, sessionOf(setUp));
    }

    @Test
    void requestsBeforeTheListAndForUnknownTitlesAreUnusable() {
        execute(() -> core.requestSession(
                new ViewerRequest("x", clock.now(), 1e15, "nowhere", "free", null, "v", 4), new RecordingCall()));
        assertEquals("NO_TITLE", nextAnswer());
        SessionCore empty = newCore();
        execute(() -> empty.start(boxes));
        execute(() -> empty.requestSession(
                new ViewerRequest("x", clock.now(), 1e15, "title", "free", null, "v", 4), new RecordingCall()));
        assertEquals("NOT_READY", nextAnswer());
    }
}
