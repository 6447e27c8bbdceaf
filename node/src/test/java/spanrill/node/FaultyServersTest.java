package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** Tests servers whose answers are malformed, late, duplicated or missing. */
class FaultyServersTest extends FrontNodeTestBase {
    /** The connect time-out of {@link TestConfig}. */
    private static final long CONNECT_TIMEOUT_MS = 300;

    @Test
    void paidSetUpFailsAfterUnparsableAnswer() throws Exception {
        firstServer.onSetUp((connection, message) -> connection.sendRaw(new byte[] {0, 1, 9, 9, 9}));
        secondServer.onSetUp((connection, message) ->
                connection.sendRaw("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.UTF_8)));
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "paid");
        assertEquals(
                41, awaitAnswer(viewer, TIMEOUT_MS).cause(), "the set-up may have run, so it is failed, not refused");
        assertEquals(List.of(), judge.violations(id));
        firstServer.onSetUp(firstServer::sendAnswer);
        secondServer.onSetUp(secondServer::sendAnswer);
    }

    @Test
    void freeSetUpIsRetriedAfterConnectionReset() throws Exception {
        boolean[] connectionReset = new boolean[1];
        onSetUpAtBoth((connection, message) -> {
            if (!connectionReset[0]) {
                connectionReset[0] = true;
                connection.reset();
            } else {
                firstServer.sendAnswer(connection, message);
            }
        });
        establishSession(connectViewer(), "free");
        assertTrue(connectionReset[0]);
    }

    /** A release with cause 34 and a refused connection both prove that the set-up never ran, so it is retried. */
    @Test
    void paidSetUpIsRetriedAfterProofThatItNeverRan() throws Exception {
        boolean[] refusedOnce = new boolean[1];
        onSetUpAtBoth((connection, message) -> {
            if (!refusedOnce[0]) {
                refusedOnce[0] = true;
                judge.nonExecutionProved(message.session());
                connection.send(new Message(MessageType.RELEASE, message.session())
                        .withCause(34)
                        .with(Parameter.LOAD_REPORT, "x0:1.3;x1:noise"));
            } else {
                firstServer.sendAnswer(connection, message);
            }
        });
        establishSession(connectViewer(), "paid");
        firstServer.close();
        for (int i = 0; i < 4; i++) {
            TestConnection viewer = connectViewer();
            sendSetUp(viewer, "paid");
            Message answer = awaitAnswer(viewer, TIMEOUT_MS);
            assertTrue(
                    answer.type() == MessageType.ANSWER || answer.cause() == 42,
                    "answered by the other server or refused");
        }
    }

    @Test
    void duplicateAndForeignAnswersAreNotForwarded() throws Exception {
        onSetUpAtBoth((connection, message) -> {
            connection.send(new Message(MessageType.ANSWER, 424242).with(Parameter.DESCRIPTION, "ahead"));
            firstServer.sendAnswer(connection, message);
            firstServer.sendAnswer(connection, message);
            connection.send(new Message(MessageType.ANSWER, message.session()).with(Parameter.DESCRIPTION, "other"));
        });
        TestConnection viewer = connectViewer();
        for (int i = 0; i < 5; i++) {
            establishSession(viewer, "paid");
        }
        assertNull(viewer.awaitMessage(100));
    }

    /** Late answers are usual: any number of them over the life of a connection must not end the set-ups open on it. */
    @Test
    void unsolicitedAnswersDoNotCloseConnectionWithOpenSetUp() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "paid");
        ScriptedServer.ReceivedMessage received = awaitSetUpAtServers();
        for (int i = 1; i <= 80; i++) {
            received.connection().send(new Message(MessageType.ANSWER, 70_000 + i).with(Parameter.DESCRIPTION, "late"));
        }
        firstServer.sendAnswer(received.connection(), received.message());
        Message answer = awaitAnswer(viewer, TIMEOUT_MS);
        assertEquals(id, answer.session());
        assertEquals(MessageType.ANSWER, answer.type());
    }

    @Test
    void silentServerIsGivenUpBeforeViewerDeadline() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        TestConnection viewer = connectViewer();
        long startNanos = System.nanoTime();
        sendSetUp(viewer, "paid");
        Message answer = awaitAnswer(viewer, TIMEOUT_MS);
        assertEquals(41, answer.cause());
        assertTrue((System.nanoTime() - startNanos) / 1_000_000 < 1600, "answered by the viewer's deadline");
    }

    /** The node closes first, so that no paid set-up crosses the server's close. */
    @Test
    void idleConnectionIsClosedBeforeServerIdleTimeout() throws Exception {
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage received = awaitSetUpAtServers();
        awaitAnswer(viewer, TIMEOUT_MS);
        received.connection().send(new Message(MessageType.RELEASE, id).withCause(16));
        assertTrue(received.connection().awaitEnd(2800), "closed before the server's idle time-out of 3 s");
    }

    @Test
    void silentServerIsTested() throws Exception {
        TestConnection viewer = connectViewer();
        sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage received = awaitSetUpAtServers();
        ScriptedServer server =
                awaitAnswer(viewer, TIMEOUT_MS).text(Parameter.DESCRIPTION).startsWith("s-1")
                        ? firstServer
                        : secondServer;
        ScriptedServer.ReceivedMessage test = server.awaitMessage(MessageType.TEST, 4000);
        assertNotNull(test, "tested after more than two note intervals without a note");
        test.connection()
                .send(new Message(MessageType.TEST_RESULT, test.message().session()).withCause(1));
        assertNull(viewer.awaitMessage(300), "the server is alive, so its session stays established");
        assertNotNull(received);
    }

    /** A truncated answer counts as lost at the time-out, and its connection gets no new set-ups. */
    @Test
    void truncatedAnswerIsGivenUpAndItsConnectionClosed() throws Exception {
        List<TestConnection> truncatingConnections = new java.util.concurrent.CopyOnWriteArrayList<>();
        onSetUpAtBoth((connection, message) -> {
            if (truncatingConnections.isEmpty()) {
                truncatingConnections.add(connection);
                connection.sendRaw(new byte[] {0, 40, 9, 0, 0, 0});
            } else if (!truncatingConnections.contains(connection)) {
                firstServer.sendAnswer(connection, message);
            }
        });
        TestConnection viewer = connectViewer();
        establishSession(viewer, "free");
        assertTrue(truncatingConnections.get(0).awaitEnd(TIMEOUT_MS));
        establishSession(viewer, "free");
    }

    /** Guards against a session that its server keeps: its release waits for a connection that nothing opens. */
    @Test
    void releaseReachesServerThatIsUnreachableWhenViewerReleases() throws Exception {
        FullBacklogServer lateServer = closeAfterTest(new FullBacklogServer());
        discovery
                .awaitRequest(TIMEOUT_MS)
                .sendEvent(2, TestConfig.event(2, false, TestConfig.member("s-3", lateServer.port(), "SERVING")));
        awaitLoopIterations();
        TestConnection viewer = connectViewer();
        judge.requestSent(7, "free");
        viewer.send(setUpMessage(7, "free", ";at:s-3"));
        viewer.send(new Message(MessageType.RELEASE, 7).withCause(16));
        assertEquals(7, viewer.awaitMessage(TIMEOUT_MS).session(), "confirmed to the viewer");
        // Every connection that the node has begun to open fails meanwhile.
        assertNull(lateServer.received.poll(CONNECT_TIMEOUT_MS + 200, TimeUnit.MILLISECONDS));
        lateServer.open();
        Message release = lateServer.received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(release, "the node opens a connection for the release");
        assertEquals(7, release.session());
    }
}
