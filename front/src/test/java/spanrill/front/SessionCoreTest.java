package spanrill.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.Outcome;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.decisions.OutcomeTable;

/**
 * The core on a real loop with a box side that does what the test says: the orders that wires seldom
 * show.
 */
class SessionCoreTest {
    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final Clock clock = new Clock();
    private final FakeBoxes boxes = new FakeBoxes();
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private SessionCore core;

    /** A set-up that is out. */
    private record Out(BoxSide.Order order, BoxSide.AttemptListener listener) { }

    private static final class FakeBoxes implements BoxSide {
        private final BlockingQueue<Out> out = new LinkedBlockingQueue<>();
        private final List<String> told = new ArrayList<>();
        private final List<Consumer<Load>> releases = new ArrayList<>();
        private Outcome atOnce;

        @Override
        public Attempt setUp(Order order, AttemptListener listener) {
            out.add(new Out(order, listener));
            if (atOnce != null) {
                listener.ended(atOnce, null);
            }
            return why -> {
                told.add("abandon " + why);
                return OutcomeTable.read(OutcomeTable.Stage.WRITTEN, why);
            };
        }

        @Override
        public void rung(String box, String key, int rung) {
            told.add("rung " + rung);
        }

        @Override
        public void release(String box, String key, Consumer<Load> done) {
            told.add("release " + key);
            releases.add(done);
        }

        @Override
        public Segment fetch(String box, String key, String path, String range, SegmentSink sink) {
            throw new UnsupportedOperationException();
        }
    }

    private final class Call implements ViewerCall {
        @Override
        public void plays(FrontSession session) {
            answers.add("plays " + session.id());
        }

        @Override
        public void refused(double retryAfterMs) {
            answers.add("refused");
        }

        @Override
        public void failed() {
            answers.add("failed");
        }

        @Override
        public void unusable(Unusable why) {
            answers.add(why.toString());
        }
    }

    static FrontSettings settings() {
        return new FrontSettings(0, 1, "a", 1, new FrontSettings.Address("127.0.0.1", 0),
                new FrontSettings.Address("127.0.0.1", 1), "keys", "state",
                Map.of("free", new FrontSettings.ClassSettings(200, 500, 1, false, 0, 4, 1, 0),
                        "paid", new FrontSettings.ClassSettings(200, 500, 3, true, 1, 4, 1, 0)), Map.of(),
                Map.of("std", new FrontSettings.KindSettings(24)),
                new FrontSettings.Ladder(List.of(200.0, 350.0, 600.0, 1000.0, 1700.0),
                        List.of(0.2, 0.4, 0.6, 0.8, 1.0)),
                new FrontSettings.Fleet(4, 1, 40_000, 10_000, 30_000), new FrontSettings.Notes(800, 3000, 6,
                500),
                new FrontSettings.Rules(5, 2000, 0, 1, 250, 0, 0.5, 2, 1500, null, null, null),
                new FrontSettings.Limits(50, 100, 32, 32, 250, 8000, 1000, 100, 300, 250, 1000, 2, 100, 100),
                new FrontSettings.Web(List.of("http://player.example")));
    }

    @BeforeEach
    void start() throws Exception {
        core = new SessionCore(settings(), loop, clock, TokenMemory.none());
        run(() -> {
            core.begin(boxes);
            core.titles(Map.of("title", new Title("title", 0, 4, 60_000, 2000)));
            List<Server> servers = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                servers.add(new Server("s" + i, "a", "std", i, ServerState.READY, 1, Double.NaN));
            }
            core.servers(ListKind.WHOLE, servers);
        });
    }

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void run(Runnable action) throws Exception {
        loop.submit(action).get(5, TimeUnit.SECONDS);
    }

    private Call ask(String token, String cls) throws Exception {
        Call call = new Call();
        run(() -> core.offer(new ViewerRequest(token, clock.now(), clock.now() + 60_000, "title", cls, null,
                "v", 4),
                call));
        return call;
    }

    private Out out() throws Exception {
        Out out = boxes.out.poll(5, TimeUnit.SECONDS);
        assertTrue(out != null, "no set-up came");
        return out;
    }

    private String answer() throws Exception {
        String answer = answers.poll(5, TimeUnit.SECONDS);
        assertTrue(answer != null, "no answer came");
        return answer;
    }

    /** Stands the loop still until a time has passed, so that what is due meanwhile comes in one turn. */
    private void standStill(double ms) {
        double until = clock.now() + ms;
        while (clock.now() < until) {
            Thread.onSpinWait();
        }
    }

    @Test
    void anAnswerInTheSameTurnAsItsTimeOutCountsOnce() throws Exception {
        ask("t", "paid");
        Out out = out();
        // The time-out is due when the turn ends, but the box's answer is taken first.
        run(() -> {
            standStill(600);
            out.listener().plays();
        });
        assertTrue(answer().startsWith("plays"));
        run(() -> { });
        assertEquals(0, answers.size());
        assertEquals(1, core.size());
    }

    @Test
    void aTimeOutInTheSameTurnAsTheAnswerCountsOnce() throws Exception {
        ask("t", "paid");
        Out out = out();
        assertEquals("failed", answer());
        run(() -> out.listener().plays());
        run(() -> out.listener().ended(Outcome.FULL, null));
        assertEquals(0, answers.size());
        assertEquals(List.of("abandon TIMED_OUT"), boxes.told);
        assertEquals(0, boxes.out.size());
        ask("t", "paid");
        assertEquals("failed", answer());
        assertEquals(0, boxes.out.size(), "set up again");
    }

    @Test
    void aBoxThatTurnsAwayWithinTheCallIsOneOutcome() throws Exception {
        boxes.atOnce = Outcome.FULL;
        ask("t", "paid");
        assertEquals("refused", answer());
        // Four holders, each turned it away with proof, one after the other.
        assertEquals(4, boxes.out.size());
        assertEquals(0, core.size());
    }

    @Test
    void aTokenOnTwoConnectionsIsOneSetUpAndTwoAnswers() throws Exception {
        ask("t", "paid");
        ask("t", "paid");
        Out out = out();
        assertEquals(0, boxes.out.size());
        run(out.listener()::plays);
        assertEquals(answer(), answer());
        ask("t", "paid");
        assertTrue(answer().startsWith("plays"));
        assertEquals(1, core.size());
    }

    @Test
    void theLastViewerThatLeavesCallsTheSetUpOff() throws Exception {
        Call first = ask("t", "free");
        Call second = ask("t", "free");
        out();
        run(() -> core.left(first));
        assertEquals(List.of(), boxes.told);
        run(() -> core.left(second));
        assertEquals(List.of("abandon CALLED_OFF"), boxes.told);
        assertEquals(0, core.size());
        assertEquals(0, answers.size());
    }

    @Test
    void aPaidTokenWhoseViewerLeftDuringSetUpFailsAfterwards() throws Exception {
        Call call = ask("t", "paid");
        out();
        run(() -> core.left(call));
        ask("t", "paid");
        assertEquals("failed", answer());
        assertEquals(0, boxes.out.size());
    }

    @Test
    void aFreeSessionGoesOnElsewhereAfterAnUnprovenLoss() throws Exception {
        ask("t", "free");
        Out first = out();
        run(() -> first.listener().ended(Outcome.RESET, null));
        Out second = out();
        assertTrue(!second.order().box().equals(first.order().box()));
        run(second.listener()::plays);
        assertTrue(answer().startsWith("plays"));
    }

    @Test
    void aLostBoxEndsItsSessionsAndTheTokenIsUsed() throws Exception {
        ask("t", "free");
        Out out = out();
        run(out.listener()::plays);
        String id = answer().substring("plays ".length());
        run(() -> core.boxLost(out.order().box(), "gone"));
        run(() -> assertEquals("gone", core.session(id).overWhy()));
        ask("t", "free");
        assertEquals("USED", answer());
        assertEquals(0, core.size());
    }

    @Test
    void aSessionWithoutASignOfLifeIsReleased() throws Exception {
        ask("t", "free");
        Out out = out();
        run(out.listener()::plays);
        answer();
        run(() -> core.finish(core.session("nobody") == null ? session(out) : null));
        assertEquals(List.of("release " + out.order().key()), boxes.told);
        run(() -> boxes.releases.get(0).accept(null));
        assertEquals(0, core.size());
    }

    private FrontSession session(Out out) {
        return core.session(out.order().key().substring(0, 22));
    }

    @Test
    void aMoveReleasesFirstAndSpendsNothingAnew() throws Exception {
        ask("t", "paid");
        Out out = out();
        assertTrue(out.order().spends());
        run(out.listener()::plays);
        answer();
        FrontSession session = session(out);
        run(() -> core.move(session.id() + "-0"));
        assertEquals("release " + out.order().key(), boxes.told.get(0));
        assertEquals(0, boxes.out.size(), "before the old box gave it up");
        run(() -> boxes.releases.get(0).accept(null));
        Out again = out();
        assertEquals(out.order().key(), again.order().continues());
        assertTrue(!again.order().spends());
        run(again.listener()::plays);
        run(() -> assertEquals(again.order().box(), session.box()));
        assertEquals(0, answers.size(), "a move is no answer");
    }

    @Test
    void aMoveWhoseOldBoxIsSilentGoesOnAfterItsTime() throws Exception {
        ask("t", "free");
        Out out = out();
        run(out.listener()::plays);
        answer();
        run(() -> core.move(session(out).id() + "-0"));
        Out again = out();
        run(() -> boxes.releases.get(0).accept(null));
        run(again.listener()::plays);
        assertEquals(0, boxes.out.size(), "it came back twice");
    }

    @Test
    void requestsBeforeTheListAndForUnknownTitlesAreTold() throws Exception {
        run(() -> core.offer(new ViewerRequest("x", clock.now(), 1e15, "nowhere", "free", null, "v", 4),
                new Call()));
        assertEquals("NO_TITLE", answer());
        SessionCore empty = new SessionCore(settings(), loop, clock, TokenMemory.none());
        run(() -> empty.begin(boxes));
        run(() -> empty.offer(new ViewerRequest("x", clock.now(), 1e15, "title", "free", null, "v", 4),
                new Call()));
        assertEquals("NOT_READY", answer());
    }
}
