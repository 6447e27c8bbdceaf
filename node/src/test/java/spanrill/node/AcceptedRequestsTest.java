package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import spanrill.node.config.NodeConfig;
import spanrill.session.EventSink;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;

/** Every request that a connection delivered gets its final answer, whatever else happens on it. */
class AcceptedRequestsTest extends NodeBench {
    /** More than any count of messages that the node tolerated on one connection in release e8d634c. */
    private static final int MANY = 40;
    /** The longest deadline of {@link TestConfig} and the protocol's 0.7 s. */
    private static final long KILL_MS = 1500 + 700;

    private static final long PACE_MS = 30;

    /** What clients do on a connection that they share with an open request. */
    enum Habit {
        /** They acknowledge each refusal. */
        ACKNOWLEDGES,
        /** They cancel requests whose refusal is on its way. */
        CANCELS_LATE,
        /** They send progress messages, which the protocol calls free. */
        REPORTS_PROGRESS,
        /** They ask for a class that does not exist. */
        ASKS_FOR_UNKNOWN_CLASSES,
        /** They send the set-up of the open request a second time. */
        REPEATS_THE_ID
    }

    @ParameterizedTest
    @EnumSource
    void anOpenRequestOutlives(Habit habit) throws Exception {
        long innocent = ids + 1;
        CountDownLatch arrived = new CountDownLatch(1);
        both((wire, message) -> {
            if (message.session() == innocent) {
                arrived.countDown();
            } else {
                judge.nonExecutionProved(message.session());
                wire.send(new Message(MessageType.RELEASE, message.session()).withCause(34));
            }
        });
        Wire client = viewer();
        assertEquals(innocent, ask(client, "free"));
        ScriptedServer.Got open = atServer();
        assertTrue(arrived.await(SOON, TimeUnit.MILLISECONDS));
        behave(habit, client, innocent);
        settle();
        assertFalse(client.endsWithin(100), "the connection stays open");
        one.answer(open.wire(), open.message());
        Message answer = answer(client, SOON);
        assertEquals(innocent, answer.session());
        assertEquals(MessageType.ANSWER, answer.type());
    }

    private void behave(Habit habit, Wire client, long innocent) throws Exception {
        if (habit == Habit.REPEATS_THE_ID) {
            client.send(setUp(innocent, "free", ""));
            return;
        }
        for (int i = 0; i < MANY; i++) {
            switch (habit) {
                case ACKNOWLEDGES -> client.send(new Message(MessageType.RELEASE_ACKNOWLEDGED, refused(client)));
                case CANCELS_LATE -> client.send(new Message(MessageType.RELEASE, refused(client)).withCause(16));
                case ASKS_FOR_UNKNOWN_CLASSES -> {
                    client.send(setUp(9000 + i, "gold", ""));
                    assertEquals(9000 + i, client.next(SOON).session());
                }
                default -> client.send(new Message(MessageType.PROGRESS, innocent));
            }
        }
    }

    /** A request that both servers turn away. */
    private long refused(Wire client) throws InterruptedException {
        long id = ask(client, "free");
        Message answer = answer(client, SOON);
        assertEquals(id, answer.session());
        assertEquals(MessageType.RELEASE, answer.type());
        return id;
    }

    /** Both lie unread together: the repetition was sent before its client could know of the answer. */
    @Test
    void aRepetitionThatCrossesItsAnswerGetsNoSecondOne() throws Exception {
        Wire client = viewer();
        whileHeld(() -> {
            client.send(setUp(9001, "gold", ""));
            client.send(setUp(9001, "free", ""));
        });
        assertEquals(100, client.next(SOON).cause());
        assertNull(client.next(100), "a second answer");
        playing(client, "free");
    }

    /**
     * Servers hang from some time after the stop, through the rest of it; clients go on using their
     * connections until the kill.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 600, 1000})
    void requestsDuringAShutdownAreAnsweredBeforeTheKill(int hangFromMs) throws Exception {
        Wire client = viewer();
        playing(client, "paid");
        long stopped = System.nanoTime();
        one.onSetUp((wire, message) -> answerUntil(stopped, hangFromMs, one, wire, message));
        two.onSetUp((wire, message) -> answerUntil(stopped, hangFromMs, two, wire, message));
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        int owed = 0;
        while (!client.endsWithin(PACE_MS) && msSince(stopped) < KILL_MS - 100) {
            ask(client, owed % 2 == 0 ? "free" : "paid");
            owed++;
        }
        long left = KILL_MS - msSince(stopped);
        assertTrue(done.await(Math.max(1, left), TimeUnit.MILLISECONDS), "the node ends before the kill");
        // What crossed the end of the connection within 50 ms is sent again elsewhere.
        int crossed = (int) (50 / PACE_MS) + 1;
        int answered = 0;
        for (Message next = client.next(1); next != null; next = client.next(1)) {
            judge.receivedByViewer(next);
            answered++;
        }
        assertTrue(answered >= owed - crossed, answered + " of " + owed + " were answered");
    }

    private static void answerUntil(long stopped, int hangFromMs, ScriptedServer server, Wire wire, Message message) {
        if (msSince(stopped) < hangFromMs) {
            server.answer(wire, message);
        }
    }

    /**
     * The last answer falls due while a request lies unread on its connection: that one is read first. The
     * loop is held where it reads another connection, so that its timers run before it reads again.
     */
    @Test
    void aRequestUnreadBehindTheLastAnswerIsRefused() throws Exception {
        both((wire, message) -> {});
        HoldingLog log = new HoldingLog("discovery.malformed");
        NodeConfig config = config(discovery.port(), one.member("SERVING"), two.member("SERVING"));
        discovery.next(SOON);
        node.close();
        node = FrontNode.start(config, log, EventSink.none());
        ScriptedDiscovery.Asked stream = discovery.next(SOON);
        Wire client = viewer();
        node.stop(() -> {});
        assertNull(client.next(850));
        long last = ask(client, "paid");
        assertNull(client.next(1050), "open until 0.2 s before the kill");
        stream.write("id: 2\ndata: nonsense\n\n");
        log.awaitHeld();
        long unread = ask(client, "free");
        assertNull(client.next(150));
        log.release();
        assertEquals(last, answer(client, SOON).session());
        Message refusal = answer(client, SOON);
        assertEquals(unread, refusal.session());
        assertEquals(42, refusal.cause());
    }

    /** Holds whoever logs an event until it is released. */
    private static final class HoldingLog implements EventSink {
        private final String event;
        private final CountDownLatch held = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        HoldingLog(String event) {
            this.event = event;
        }

        void awaitHeld() throws InterruptedException {
            assertTrue(held.await(SOON, TimeUnit.MILLISECONDS));
        }

        void release() {
            released.countDown();
        }

        @Override
        public void info(String what, Object... fields) {
            if (what.equals(event)) {
                held.countDown();
                try {
                    released.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        @Override
        public void error(String what, Throwable cause, Object... fields) {}
    }

    /** Nothing else tells clients to go elsewhere: what they send as the process ends would be lost. */
    @Test
    void noConnectionIsOpenWhenTheProcessEnds() throws Exception {
        Wire busy = viewer();
        Wire idle = viewer();
        playing(idle, "free");
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        int asked = 0;
        while (!busy.endsWithin(PACE_MS) && done.getCount() > 0) {
            ask(busy, "free");
            asked++;
            if (busy.next(SOON) == null) {
                break;
            }
        }
        assertTrue(asked > 10, "it serves while requests may come");
        assertTrue(done.await(KILL_MS, TimeUnit.MILLISECONDS));
        assertTrue(busy.endsWithin(1), "the busy connection was ended before the process");
        assertTrue(idle.endsWithin(1), "the idle connection was ended before the process");
    }

    private static long msSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }
}
