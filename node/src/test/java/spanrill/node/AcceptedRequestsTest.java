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
class AcceptedRequestsTest extends FrontNodeTestBase {
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
        long innocent = lastSessionId + 1;
        CountDownLatch arrived = new CountDownLatch(1);
        onSetUpAtBoth((wire, message) -> {
            if (message.session() == innocent) {
                arrived.countDown();
            } else {
                judge.nonExecutionProved(message.session());
                wire.send(new Message(MessageType.RELEASE, message.session()).withCause(34));
            }
        });
        TestConnection client = connectViewer();
        assertEquals(innocent, sendSetUp(client, "free"));
        ScriptedServer.ReceivedMessage open = awaitSetUpAtServers();
        assertTrue(arrived.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        behave(habit, client, innocent);
        awaitLoopIterations();
        assertFalse(client.awaitEnd(100), "the connection stays open");
        firstServer.sendAnswer(open.connection(), open.message());
        Message answer = awaitAnswer(client, TIMEOUT_MS);
        assertEquals(innocent, answer.session());
        assertEquals(MessageType.ANSWER, answer.type());
    }

    private void behave(Habit habit, TestConnection client, long innocent) throws Exception {
        if (habit == Habit.REPEATS_THE_ID) {
            client.send(setUpMessage(innocent, "free", ""));
            return;
        }
        for (int i = 0; i < MANY; i++) {
            switch (habit) {
                case ACKNOWLEDGES -> client.send(new Message(MessageType.RELEASE_ACKNOWLEDGED, refused(client)));
                case CANCELS_LATE -> client.send(new Message(MessageType.RELEASE, refused(client)).withCause(16));
                case ASKS_FOR_UNKNOWN_CLASSES -> {
                    client.send(setUpMessage(9000 + i, "gold", ""));
                    assertEquals(9000 + i, client.awaitMessage(TIMEOUT_MS).session());
                }
                default -> client.send(new Message(MessageType.PROGRESS, innocent));
            }
        }
    }

    /** A request that both servers turn away. */
    private long refused(TestConnection client) throws InterruptedException {
        long id = sendSetUp(client, "free");
        Message answer = awaitAnswer(client, TIMEOUT_MS);
        assertEquals(id, answer.session());
        assertEquals(MessageType.RELEASE, answer.type());
        return id;
    }

    /** Both lie unread together: the repetition was sent before its client could know of the answer. */
    @Test
    void aRepetitionThatCrossesItsAnswerGetsNoSecondOne() throws Exception {
        TestConnection client = connectViewer();
        whileLoopIsBlocked(() -> {
            client.send(setUpMessage(9001, "gold", ""));
            client.send(setUpMessage(9001, "free", ""));
        });
        assertEquals(100, client.awaitMessage(TIMEOUT_MS).cause());
        assertNull(client.awaitMessage(100), "a second answer");
        establishSession(client, "free");
    }

    /**
     * Servers hang from some time after the stop, through the rest of it; clients go on using their
     * connections until the kill.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 600, 1000})
    void requestsDuringAShutdownAreAnsweredBeforeTheKill(int hangFromMs) throws Exception {
        TestConnection client = connectViewer();
        establishSession(client, "paid");
        long stopped = System.nanoTime();
        firstServer.onSetUp((wire, message) -> answerUntil(stopped, hangFromMs, firstServer, wire, message));
        secondServer.onSetUp((wire, message) -> answerUntil(stopped, hangFromMs, secondServer, wire, message));
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        int owed = 0;
        while (!client.awaitEnd(PACE_MS) && msSince(stopped) < KILL_MS - 100) {
            sendSetUp(client, owed % 2 == 0 ? "free" : "paid");
            owed++;
        }
        long left = KILL_MS - msSince(stopped);
        assertTrue(done.await(Math.max(1, left), TimeUnit.MILLISECONDS), "the node ends before the kill");
        // What crossed the end of the connection within 50 ms is sent again elsewhere.
        int crossed = (int) (50 / PACE_MS) + 1;
        int answered = 0;
        for (Message next = client.awaitMessage(1); next != null; next = client.awaitMessage(1)) {
            judge.receivedByViewer(next);
            answered++;
        }
        assertTrue(answered >= owed - crossed, answered + " of " + owed + " were answered");
    }

    private static void answerUntil(
            long stopped, int hangFromMs, ScriptedServer server, TestConnection wire, Message message) {
        if (msSince(stopped) < hangFromMs) {
            server.sendAnswer(wire, message);
        }
    }

    /**
     * The last answer falls due while a request lies unread on its connection: that one is read first. The
     * loop is held where it reads another connection, so that its timers run before it reads again.
     */
    @Test
    void aRequestUnreadBehindTheLastAnswerIsRefused() throws Exception {
        onSetUpAtBoth((wire, message) -> {});
        HoldingLog log = new HoldingLog("discovery.malformed");
        NodeConfig config =
                createConfig(discovery.port(), firstServer.listEntry("SERVING"), secondServer.listEntry("SERVING"));
        discovery.awaitRequest(TIMEOUT_MS);
        node.close();
        node = FrontNode.start(config, log, EventSink.none());
        ScriptedDiscovery.StreamRequest stream = discovery.awaitRequest(TIMEOUT_MS);
        TestConnection client = connectViewer();
        node.stop(() -> {});
        assertNull(client.awaitMessage(850));
        long last = sendSetUp(client, "paid");
        assertNull(client.awaitMessage(1050), "open until 0.2 s before the kill");
        stream.write("id: 2\ndata: nonsense\n\n");
        log.awaitHeld();
        long unread = sendSetUp(client, "free");
        assertNull(client.awaitMessage(150));
        log.release();
        assertEquals(last, awaitAnswer(client, TIMEOUT_MS).session());
        Message refusal = awaitAnswer(client, TIMEOUT_MS);
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
            assertTrue(held.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
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
        TestConnection busy = connectViewer();
        TestConnection idle = connectViewer();
        establishSession(idle, "free");
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        int asked = 0;
        while (!busy.awaitEnd(PACE_MS) && done.getCount() > 0) {
            sendSetUp(busy, "free");
            asked++;
            if (busy.awaitMessage(TIMEOUT_MS) == null) {
                break;
            }
        }
        assertTrue(asked > 10, "it serves while requests may come");
        assertTrue(done.await(KILL_MS, TimeUnit.MILLISECONDS));
        assertTrue(busy.awaitEnd(1), "the busy connection was ended before the process");
        assertTrue(idle.awaitEnd(1), "the idle connection was ended before the process");
    }

    private static long msSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }
}
