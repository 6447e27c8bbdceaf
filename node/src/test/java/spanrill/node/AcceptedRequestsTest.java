package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
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

/** Every request received on a client connection gets its final answer, whatever else the client or the node does. */
class AcceptedRequestsTest extends FrontNodeTestBase {
    /** Release e8d634c closed connections at fixed message counts, all below this one, despite open requests. */
    private static final int MESSAGE_COUNT = 40;
    /** The platform kills a node after the longest deadline, here 1.5 s of {@link TestConfig}, plus 0.7 s. */
    private static final long KILL_MS = 1500 + 700;

    private static final long REQUEST_INTERVAL_MS = 30;

    /** Behavior of a client on a connection that also has an open request. */
    enum ClientBehavior {
        /** Acknowledges each refusal. */
        ACKNOWLEDGES,
        /** Cancels requests whose refusal is already under way. */
        CANCELS_LATE,
        /** Sends progress messages, which the protocol does not count against a client. */
        REPORTS_PROGRESS,
        /** Sends set-ups with a service class that does not exist. */
        ASKS_FOR_UNKNOWN_CLASSES,
        /** Sends the set-up of the open request a second time. */
        REPEATS_THE_ID
    }

    @ParameterizedTest
    @EnumSource
    void openRequestIsAnsweredDespiteOtherMessagesOnItsConnection(ClientBehavior behavior) throws Exception {
        long openRequestId = lastSessionId + 1;
        CountDownLatch arrived = new CountDownLatch(1);
        onSetUpAtBoth((connection, message) -> {
            if (message.session() == openRequestId) {
                arrived.countDown();
            } else {
                judge.nonExecutionProved(message.session());
                connection.send(new Message(MessageType.RELEASE, message.session()).withCause(34));
            }
        });
        TestConnection client = connectViewer();
        assertEquals(openRequestId, sendSetUp(client, "free"));
        ScriptedServer.ReceivedMessage openSetUp = awaitSetUpAtServers();
        assertTrue(arrived.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        sendOtherMessages(behavior, client, openRequestId);
        awaitLoopIterations();
        assertFalse(client.awaitEnd(100), "the connection stays open");
        firstServer.sendAnswer(openSetUp.connection(), openSetUp.message());
        Message answer = awaitAnswer(client, TIMEOUT_MS);
        assertEquals(openRequestId, answer.session());
        assertEquals(MessageType.ANSWER, answer.type());
    }

    private void sendOtherMessages(ClientBehavior behavior, TestConnection client, long openRequestId)
            throws Exception {
        if (behavior == ClientBehavior.REPEATS_THE_ID) {
            client.send(setUpMessage(openRequestId, "free", ""));
            return;
        }
        for (int i = 0; i < MESSAGE_COUNT; i++) {
            switch (behavior) {
                case ACKNOWLEDGES ->
                    client.send(new Message(MessageType.RELEASE_ACKNOWLEDGED, sendRefusedRequest(client)));
                case CANCELS_LATE ->
                    client.send(new Message(MessageType.RELEASE, sendRefusedRequest(client)).withCause(16));
                case ASKS_FOR_UNKNOWN_CLASSES -> {
                    client.send(setUpMessage(9000 + i, "gold", ""));
                    assertEquals(9000 + i, client.awaitMessage(TIMEOUT_MS).session());
                }
                default -> client.send(new Message(MessageType.PROGRESS, openRequestId));
            }
        }
    }

    /** Sends a request that both servers refuse, awaits the refusal and returns the session id. */
    private long sendRefusedRequest(TestConnection client) throws InterruptedException {
        long id = sendSetUp(client, "free");
        Message answer = awaitAnswer(client, TIMEOUT_MS);
        assertEquals(id, answer.session());
        assertEquals(MessageType.RELEASE, answer.type());
        return id;
    }

    /**
     * Both set-ups are read in one loop iteration, so the client sent the second before it could receive the answer.
     */
    @Test
    void repeatedSetUpThatCrossesTheAnswerGetsNoSecondAnswer() throws Exception {
        TestConnection client = connectViewer();
        whileLoopIsBlocked(() -> {
            client.send(setUpMessage(9001, "gold", ""));
            client.send(setUpMessage(9001, "free", ""));
        });
        assertEquals(100, client.awaitMessage(TIMEOUT_MS).cause());
        assertNull(client.awaitMessage(100), "no second answer");
        establishSession(client, "free");
    }

    /**
     * Servers stop answering {@code hangFromMs} after the start of the shutdown, while the client keeps sending
     * requests until its connection ends.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 600, 1000})
    void requestsDuringShutdownAreAnsweredBeforeTheKill(int hangFromMs) throws Exception {
        TestConnection client = connectViewer();
        establishSession(client, "paid");
        long shutdownStartNs = System.nanoTime();
        firstServer.onSetUp(
                (connection, message) -> answerUntil(shutdownStartNs, hangFromMs, firstServer, connection, message));
        secondServer.onSetUp(
                (connection, message) -> answerUntil(shutdownStartNs, hangFromMs, secondServer, connection, message));
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        int sent = 0;
        while (!client.awaitEnd(REQUEST_INTERVAL_MS) && msSince(shutdownStartNs) < KILL_MS - 100) {
            sendSetUp(client, sent % 2 == 0 ? "free" : "paid");
            sent++;
        }
        long remainingMs = KILL_MS - msSince(shutdownStartNs);
        assertTrue(done.await(Math.max(1, remainingMs), TimeUnit.MILLISECONDS), "the node shuts down before the kill");
        // Clients resend requests that cross the end of the connection, which may take 50 ms, to another front.
        int maxCrossed = (int) (50 / REQUEST_INTERVAL_MS) + 1;
        int answered = 0;
        for (Message next = client.awaitMessage(1); next != null; next = client.awaitMessage(1)) {
            judge.receivedByViewer(next);
            answered++;
        }
        assertTrue(answered >= sent - maxCrossed, answered + " of " + sent + " requests were answered");
    }

    private static void answerUntil(
            long shutdownStartNs, int hangFromMs, ScriptedServer server, TestConnection connection, Message message) {
        if (msSince(shutdownStartNs) < hangFromMs) {
            server.sendAnswer(connection, message);
        }
    }

    /**
     * Guards against a request lost at the end of a shutdown: the last answer falls due while another request waits
     * unread on the same connection, which must be read before the connection ends. The log blocks the loop while it
     * reads another connection, so that timers run before the next read.
     */
    @Test
    void unreadRequestIsRefusedWhenTheLastAnswerFallsDue() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        BlockingLog log = new BlockingLog("discovery.malformed");
        log.arm();
        NodeConfig config =
                createConfig(discovery.port(), firstServer.listEntry("SERVING"), secondServer.listEntry("SERVING"));
        discovery.awaitRequest(TIMEOUT_MS);
        node.close();
        node = FrontNode.start(config, log, EventSink.none());
        ScriptedDiscovery.StreamRequest stream = discovery.awaitRequest(TIMEOUT_MS);
        TestConnection client = connectViewer();
        node.stop(() -> {});
        assertNull(client.awaitMessage(850));
        long lastAnsweredId = sendSetUp(client, "paid");
        assertNull(client.awaitMessage(1050), "the request stays open until 0.2 s before the kill");
        stream.write("id: 2\ndata: nonsense\n\n");
        assertTrue(log.awaitBlocked(TIMEOUT_MS));
        long unreadId = sendSetUp(client, "free");
        assertNull(client.awaitMessage(150));
        log.release();
        // A late timer waits until input is read, so the refusal usually comes first.
        Map<Long, Integer> causes = new HashMap<>();
        for (int i = 0; i < 2; i++) {
            Message answer = awaitAnswer(client, TIMEOUT_MS);
            assertNull(causes.put(answer.session(), answer.cause()), "answered twice");
        }
        assertEquals(Map.of(unreadId, 42, lastAnsweredId, 41), causes);
    }

    /**
     * Guards against requests lost when the process ends: clients use another front only once their connection has
     * ended.
     */
    @Test
    void allConnectionsAreEndedBeforeTheProcessEnds() throws Exception {
        TestConnection busy = connectViewer();
        TestConnection idle = connectViewer();
        establishSession(idle, "free");
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        int sent = 0;
        while (!busy.awaitEnd(REQUEST_INTERVAL_MS) && done.getCount() > 0) {
            sendSetUp(busy, "free");
            sent++;
            if (busy.awaitMessage(TIMEOUT_MS) == null) {
                break;
            }
        }
        assertTrue(sent > 10, "the node serves while requests may arrive");
        assertTrue(done.await(KILL_MS, TimeUnit.MILLISECONDS));
        assertTrue(busy.awaitEnd(1), "the busy connection was ended before the process");
        assertTrue(idle.awaitEnd(1), "the idle connection was ended before the process");
    }

    private static long msSince(long startNs) {
        return (System.nanoTime() - startNs) / 1_000_000;
    }
}
