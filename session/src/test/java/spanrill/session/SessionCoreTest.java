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
 * The core on a clock that the test moves, with a box side that does what the test says: the orders that
 * wires seldom show.
 */
class SessionCoreTest {
    private final ManualClock clock = new ManualClock();
    private final FakeBoxes boxes = new FakeBoxes();
    private final Deque<String> answers = new ArrayDeque<>();
    private SessionCore core;
    private long names;

    /** A set-up that is out. */
    private record Out(BoxClient.SetUpRequest order, BoxClient.AttemptListener listener) {}

    private static final class FakeBoxes implements BoxClient {
        private final Deque<Out> out = new ArrayDeque<>();
        private final List<String> told = new ArrayList<>();
        private final List<Consumer<Load>> releases = new ArrayList<>();
        private Outcome atOnce;

        @Override
        public Attempt setUp(BoxClient.SetUpRequest order, AttemptListener listener) {
            out.add(new Out(order, listener));
            if (atOnce != null) {
                listener.onEnded(atOnce, null);
            }
            return why -> {
                told.add("abandon " + why);
                return OutcomeTable.outcomeOf(OutcomeTable.Stage.WRITTEN, why);
            };
        }

        @Override
        public void setRung(String box, String key, int rung) {
            told.add("rung " + rung);
        }

        @Override
        public void release(String box, String key, Consumer<Load> done) {
            told.add("release " + key);
            releases.add(done);
        }
    }

    private final class Call implements ViewerCall {
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
        public void onUnusable(ViewerCall.UnusableReason why) {
            answers.add(why.toString());
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
        AnswerDeadline time = new AnswerDeadline(500, 50);
        return new CoreSettings(
                module,
                1,
                Map.of("free", new SessionType(false, 0, 1, time), "paid", new SessionType(true, 1, 1, time)),
                8000,
                100,
                250,
                1000,
                2000);
    }

    private SessionCore fresh() {
        return new SessionCore(
                settings(),
                new SessionCore.Host(
                        clock, EventSink.none(), SpentTokenStore.none(), () -> String.format("%022d", ++names)));
    }

    @BeforeEach
    void start() {
        core = fresh();
        core.start(boxes);
        core.updateCatalogue(Map.of("title", new Title("title", 0, 4, 60_000, 2000)));
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(new Server("s" + i, "a", "std", i, ServerState.READY, 1, Double.NaN));
        }
        core.updateServers(ListKind.WHOLE, servers);
    }

    private void run(Runnable action) {
        action.run();
    }

    private Call ask(String token, String cls) {
        Call call = new Call();
        run(() -> core.requestSession(
                new ViewerRequest(token, clock.now(), clock.now() + 60_000, "title", cls, null, "v", 4), call));
        return call;
    }

    private Out out() {
        Out out = clock.runUntil(() -> !boxes.out.isEmpty(), 5000) ? boxes.out.poll() : null;
        assertTrue(out != null, "no set-up came");
        return out;
    }

    private String answer() {
        String answer = clock.runUntil(() -> !answers.isEmpty(), 5000) ? answers.poll() : null;
        assertTrue(answer != null, "no answer came");
        return answer;
    }

    @Test
    void anAnswerInTheSameTurnAsItsTimeOutCountsOnce() {
        ask("t", "paid");
        Out out = out();
        // The time-out is due when the turn ends, but the box's answer is taken first.
        run(() -> {
            clock.advanceWithoutTimers(600);
            out.listener().onPlaying();
        });
        assertTrue(answer().startsWith("plays"));
        run(() -> {});
        assertEquals(0, answers.size());
        assertEquals(1, core.sessionCount());
    }

    @Test
    void aTimeOutInTheSameTurnAsTheAnswerCountsOnce() {
        ask("t", "paid");
        Out out = out();
        assertEquals("failed", answer());
        run(() -> out.listener().onPlaying());
        run(() -> out.listener().onEnded(Outcome.FULL, null));
        assertEquals(0, answers.size());
        assertEquals(List.of("abandon TIMED_OUT"), boxes.told);
        assertEquals(0, boxes.out.size());
        ask("t", "paid");
        assertEquals("failed", answer());
        assertEquals(0, boxes.out.size(), "set up again");
    }

    @Test
    void aBoxThatTurnsAwayWithinTheCallIsOneOutcome() {
        boxes.atOnce = Outcome.FULL;
        ask("t", "paid");
        assertEquals("refused", answer());
        // Four holders, each turned it away with proof, one after the other.
        assertEquals(4, boxes.out.size());
        assertEquals(0, core.sessionCount());
    }

    @Test
    void aTokenOnTwoConnectionsIsOneSetUpAndTwoAnswers() {
        ask("t", "paid");
        ask("t", "paid");
        Out out = out();
        assertEquals(0, boxes.out.size());
        run(out.listener()::onPlaying);
        assertEquals(answer(), answer());
        ask("t", "paid");
        assertTrue(answer().startsWith("plays"));
        assertEquals(1, core.sessionCount());
    }

    @Test
    void theLastViewerThatLeavesCallsTheSetUpOff() {
        Call first = ask("t", "free");
        Call second = ask("t", "free");
        out();
        run(() -> core.cancelCall(first));
        assertEquals(List.of(), boxes.told);
        run(() -> core.cancelCall(second));
        assertEquals(List.of("abandon CANCELLED"), boxes.told);
        assertEquals(0, core.sessionCount());
        assertEquals(0, answers.size());
    }

    @Test
    void aPaidTokenWhoseViewerLeftDuringSetUpFailsAfterwards() {
        Call call = ask("t", "paid");
        out();
        run(() -> core.cancelCall(call));
        ask("t", "paid");
        assertEquals("failed", answer());
        assertEquals(0, boxes.out.size());
    }

    @Test
    void aFreeSessionGoesOnElsewhereAfterAnUnprovenLoss() {
        ask("t", "free");
        Out first = out();
        run(() -> first.listener().onEnded(Outcome.RESET, null));
        Out second = out();
        assertTrue(!second.order().box().equals(first.order().box()));
        run(second.listener()::onPlaying);
        assertTrue(answer().startsWith("plays"));
    }

    @Test
    void aLostBoxEndsItsSessionsAndTheTokenIsUsed() {
        ask("t", "free");
        Out out = out();
        run(out.listener()::onPlaying);
        String id = answer().substring("plays ".length());
        run(() -> core.handleBoxLost(out.order().box(), SessionEnd.BOX_GONE));
        run(() -> assertEquals(SessionEnd.BOX_GONE, core.findSession(id).endReason()));
        ask("t", "free");
        assertEquals("USED", answer());
        assertEquals(0, core.sessionCount());
    }

    @Test
    void aSessionWithoutASignOfLifeIsReleased() {
        ask("t", "free");
        Out out = out();
        run(out.listener()::onPlaying);
        answer();
        run(() -> core.endSession(core.findSession("nobody") == null ? session(out) : null));
        assertEquals(List.of("release " + out.order().key()), boxes.told);
        run(() -> boxes.releases.get(0).accept(null));
        assertEquals(0, core.sessionCount());
    }

    private Session session(Out out) {
        return core.findSession(out.order().key().substring(0, 22));
    }

    @Test
    void aMoveReleasesFirstAndSpendsNothingAnew() {
        ask("t", "paid");
        Out out = out();
        assertTrue(out.order().spends());
        run(out.listener()::onPlaying);
        answer();
        Session session = session(out);
        run(() -> core.move(session.id() + "-0"));
        assertEquals("release " + out.order().key(), boxes.told.get(0));
        assertEquals(0, boxes.out.size(), "before the old box gave it up");
        run(() -> boxes.releases.get(0).accept(null));
        Out again = out();
        assertEquals(out.order().key(), again.order().continues());
        assertTrue(!again.order().spends());
        run(again.listener()::onPlaying);
        run(() -> assertEquals(again.order().box(), session.box()));
        assertEquals(0, answers.size(), "a move is no answer");
    }

    @Test
    void aMoveWhoseOldBoxIsSilentGoesOnAfterItsTime() {
        ask("t", "free");
        Out out = out();
        run(out.listener()::onPlaying);
        answer();
        run(() -> core.move(session(out).id() + "-0"));
        Out again = out();
        run(() -> boxes.releases.get(0).accept(null));
        run(again.listener()::onPlaying);
        assertEquals(0, boxes.out.size(), "it came back twice");
    }

    @Test
    void aPlayerThatIsSilentIsReleasedAndToldWhy() {
        ask("t", "free");
        Out out = out();
        run(out.listener()::onPlaying);
        answer();
        Session session = session(out);
        clock.advance(7000);
        core.recordActivity(session);
        clock.advance(7000);
        assertEquals(1, core.sessionCount(), "it was heard of 7 s ago");
        clock.advance(1500);
        assertEquals(SessionEnd.IDLE, session.endReason());
        assertEquals(List.of("release " + out.order().key()), boxes.told);
    }

    @Test
    void aMoveThatNoBoxTakesEndsTheSessionWithAWait() {
        ask("t", "free");
        Out out = out();
        run(out.listener()::onPlaying);
        answer();
        Session session = session(out);
        core.move(session.id() + "-0");
        boxes.atOnce = Outcome.FULL;
        boxes.releases.get(0).accept(null);
        clock.advance(1000);
        assertEquals(SessionEnd.MOVE_REFUSED, session.endReason());
        assertTrue(session.retryAfterMs() > 0);
        assertEquals(0, answers.size(), "the request was answered long ago");
    }

    @Test
    void aSessionIsForgottenSomeTimeAfterItsEnd() {
        ask("t", "free");
        Out out = out();
        run(out.listener()::onPlaying);
        answer();
        core.endSession(session(out));
        clock.advance(119_000);
        assertEquals(SessionEnd.ENDED, session(out).endReason());
        clock.advance(2000);
        assertEquals(null, session(out));
    }

    @Test
    void requestsBeforeTheListAndForUnknownTitlesAreTold() {
        run(() -> core.requestSession(
                new ViewerRequest("x", clock.now(), 1e15, "nowhere", "free", null, "v", 4), new Call()));
        assertEquals("NO_TITLE", answer());
        SessionCore empty = fresh();
        run(() -> empty.start(boxes));
        run(() -> empty.requestSession(
                new ViewerRequest("x", clock.now(), 1e15, "title", "free", null, "v", 4), new Call()));
        assertEquals("NOT_READY", answer());
    }
}
