package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** Viewers that send invalid input, read slowly, stay silent or open many connections. */
class HostileViewersTest extends FrontNodeTestBase {
    @Test
    void invalidSetUpsAreReleasedAndNeverServed() throws Exception {
        TestConnection viewer = connectViewer();
        viewer.send(setUpMessage(1, "gold", ""));
        assertEquals(100, viewer.awaitMessage(TIMEOUT_MS).cause());
        viewer.send(new Message(MessageType.SET_UP, 2));
        assertEquals(96, viewer.awaitMessage(TIMEOUT_MS).cause());
        viewer.send(setUpMessage(3, "free", ";home:7"));
        assertEquals(100, viewer.awaitMessage(TIMEOUT_MS).cause());
        viewer.send(new Message(MessageType.SET_UP, 4)
                .with(Parameter.CLASS, "free")
                .with(Parameter.WAIT, "900")
                .with(Parameter.TITLE, "7f3a9c21e0b4d655")
                .with(Parameter.DESCRIPTION, "v=0")
                .with(Parameter.ATTRIBUTES, "home:9;copies:1;top:2;viewer:00000000b4d65521"));
        assertEquals(100, viewer.awaitMessage(TIMEOUT_MS).cause());
        establishSession(viewer, "free");
    }

    @Test
    void connectionsWithMalformedFramesOrNoValidRequestAreClosed() throws Exception {
        TestConnection malformed = connectViewer();
        TestConnection silent = connectViewer();
        TestConnection truncated = connectViewer();
        TestConnection endless = connectViewer();
        TestConnection withdrawing = connectViewer();
        malformed.sendRaw(new byte[] {0, 3, 1, 1, 1});
        truncated.sendRaw(new byte[] {0, 40, 1, 0, 0});
        endless.sendRaw(new byte[] {(byte) 0xff, (byte) 0xff, 1});
        for (int i = 0; i < 300; i++) {
            withdrawing.send(new Message(MessageType.RELEASE, 9000 + i).withCause(16));
        }
        for (TestConnection connection : List.of(malformed, endless, silent, truncated, withdrawing)) {
            assertTrue(connection.awaitEnd(TIMEOUT_MS));
        }
        establishSession(connectViewer(), "free");
    }

    /**
     * A flood of invalid set-ups closes the connection at once. Progress messages are free by the protocol, so their
     * number alone closes nothing; but they are not useful either, and the protocol requires that a connection without
     * any useful message is closed within 3 s.
     */
    @Test
    void connectionsFloodedWithUselessMessagesAreClosed() throws Exception {
        TestConnection invalid = connectViewer();
        TestConnection progressOnly = connectViewer();
        for (int i = 1; i <= 200; i++) {
            invalid.send(setUpMessage(5000 + i, "gold", ""));
            progressOnly.send(new Message(MessageType.PROGRESS, i));
        }
        assertEquals(100, invalid.awaitMessage(TIMEOUT_MS).cause());
        assertTrue(invalid.awaitEnd(1000));
        assertTrue(progressOnly.awaitEnd(TIMEOUT_MS));
        establishSession(connectViewer(), "free");
    }

    @Test
    void hundredsOfConcurrentRequestsGetOneAnswerEach() throws Exception {
        TestConnection crowd = connectViewer();
        long[] sent = new long[300];
        for (int i = 0; i < sent.length; i++) {
            sent[i] = sendSetUp(crowd, i % 3 == 0 ? "paid" : "free");
        }
        for (int i = 0; i < sent.length; i++) {
            awaitAnswer(crowd, TIMEOUT_MS);
        }
        assertEquals(List.of(), judge.violations(sent));
        assertNull(crowd.awaitMessage(50));
    }

    /** Requests withdrawn right after they were sent leave no session behind and do not hinder later requests. */
    @Test
    void hundredsOfWithdrawnRequestsLeaveNoSessions() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        TestConnection crowd = connectViewer();
        long firstId = lastSessionId + 1;
        for (int i = 0; i < 300; i++) {
            sendSetUp(crowd, "free");
        }
        for (long id = firstId; id <= lastSessionId; id++) {
            crowd.send(new Message(MessageType.RELEASE, id).withCause(16));
        }
        crowd.send(new Message(MessageType.TEST, 1).withCause(0));
        Message message = crowd.awaitMessage(TIMEOUT_MS);
        for (; message.type() != MessageType.TEST_RESULT; message = crowd.awaitMessage(TIMEOUT_MS)) {
            // A release sent before the request was withdrawn is its only answer.
            judge.receivedByViewer(message);
        }
        assertEquals(0, node.sessionCount());
        onSetUpAtBoth(firstServer::sendAnswer);
        establishSession(connectViewer(), "free");
    }

    /** Guards against unbounded write buffers: a peer that reads nothing would let answers accumulate in the node. */
    @Test
    void connectionOfAPeerThatReadsNothingIsClosed() throws Exception {
        try (Socket slow = new Socket()) {
            slow.setReceiveBufferSize(4096);
            slow.connect(node.address());
            ByteBuf tests = Unpooled.buffer();
            for (int i = 0; i < 1000; i++) {
                new Message(MessageType.TEST, i).withCause(0).write(tests);
            }
            byte[] chunk = ByteBufUtil.getBytes(tests);
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 5000; i++) {
                    slow.getOutputStream().write(chunk);
                }
            });
        }
        establishSession(connectViewer(), "free");
    }

    /**
     * The write buffer of a connection fills after a long idle time. The 1 s after which a client counts as not reading
     * starts when the buffer fills, not at the last write before the idle time.
     */
    @Test
    void slowReaderGetsItsAnswersAfterAnIdleTime() throws Exception {
        byte[] description = new byte[15_000];
        onSetUpAtBoth((connection, message) -> {
            judge.descriptionIssued(message.session(), description);
            connection.send(
                    new Message(MessageType.ANSWER, message.session()).with(Parameter.DESCRIPTION, description));
        });
        TestConnection slow = closeAfterTest(
                TestConnection.connectWithoutReading(node.address().getPort(), 4096));
        slow.send(new Message(MessageType.TEST, 1).withCause(0));
        assertNull(slow.awaitMessage(1200));
        int sent = 0;
        for (int unflushedChecks = 0; unflushedChecks < 12 && sent < 600; sent++) {
            sendSetUp(slow, "free");
            assertNotNull(awaitSetUpAtServers());
            unflushedChecks += node.hasUnflushed() ? 1 : 0;
        }
        assertNull(slow.awaitMessage(300), "nothing is read during several checks by the node");
        slow.startReading();
        assertEquals(MessageType.TEST_RESULT, slow.awaitMessage(TIMEOUT_MS).type());
        for (int i = 0; i < sent; i++) {
            assertEquals(MessageType.ANSWER, awaitAnswer(slow, TIMEOUT_MS).type());
        }
    }

    /** A client that keeps sending 60 MB, framed or not, has its connection closed before all of it is read. */
    @Test
    void connectionsWithEndlessInputAreClosed() throws Exception {
        byte[] malformed = new byte[64 * 1024];
        ByteBuf framed = Unpooled.buffer();
        while (framed.readableBytes() < malformed.length) {
            new Message(MessageType.NOTE, 1).with(200, new byte[4000]).write(framed);
        }
        for (byte[] chunk : List.of(malformed, ByteBufUtil.getBytes(framed))) {
            try (Socket endless = new Socket("127.0.0.1", node.address().getPort())) {
                assertThrows(IOException.class, () -> {
                    for (int i = 0; i < 1000; i++) {
                        endless.getOutputStream().write(chunk);
                    }
                });
            }
        }
    }

    @Test
    void reusedSessionIdDoesNotAffectTheOpenRequest() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        TestConnection first = connectViewer();
        long id = sendSetUp(first, "free");
        ScriptedServer.ReceivedMessage setUp = awaitSetUpAtServers();
        TestConnection second = connectViewer();
        second.send(setUpMessage(id, "free", ";again:1"));
        assertEquals(81, second.awaitMessage(TIMEOUT_MS).cause());
        firstServer.sendAnswer(setUp.connection(), setUp.message());
        assertEquals(MessageType.ANSWER, awaitAnswer(first, TIMEOUT_MS).type());
        TestConnection third = connectViewer();
        long repeatedId = sendSetUp(third, "free");
        ScriptedServer.ReceivedMessage repeatedSetUp = awaitSetUpAtServers();
        third.send(setUpMessage(repeatedId, "free", ""));
        third.send(setUpMessage(repeatedId, "paid", ""));
        awaitLoopIterations();
        firstServer.sendAnswer(repeatedSetUp.connection(), repeatedSetUp.message());
        Message onlyAnswer = awaitAnswer(third, TIMEOUT_MS);
        assertEquals(repeatedId, onlyAnswer.session());
        assertEquals(MessageType.ANSWER, onlyAnswer.type());
        onSetUpAtBoth(firstServer::sendAnswer);
        establishSession(third, "free");
        assertNull(
                third.awaitMessage(50),
                "set-ups that repeat the id of an open request on its connection get no answer");
    }

    @Test
    void silentConnectionsDoNotKeepViewersOut() throws Exception {
        for (int i = 0; i < 300; i++) {
            connectViewer();
        }
        TestConnection viewer = connectViewer();
        establishSession(viewer, "free");
    }

    /**
     * Many connections send one test and stay open; none of them may evict the connection of an established session.
     */
    @Test
    void connectionWithAnEstablishedSessionIsNotEvictedForTestConnections() throws Exception {
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage setUp = awaitSetUpAtServers();
        awaitAnswer(viewer, TIMEOUT_MS);
        for (int i = 0; i < 150; i++) {
            connectAndSendTest();
        }
        setUp.connection().send(new Message(MessageType.RELEASE, id).withCause(16));
        Message end = viewer.awaitMessage(1000);
        assertNotNull(end, "the release arrives at once on the connection of the session");
        assertEquals(id, end.session());
    }

    /**
     * The budget is full of connections that sent a test; a new connection without a request yet is not evicted first.
     */
    @Test
    void newConnectionIsNotEvictedBeforeTestConnections() throws Exception {
        for (int i = 0; i < 130; i++) {
            connectAndSendTest();
        }
        TestConnection viewer = connectViewer();
        for (int i = 0; i < 4; i++) {
            connectViewer();
        }
        awaitLoopIterations();
        establishSession(viewer, "free");
    }

    private void connectAndSendTest() throws Exception {
        TestConnection platform = connectViewer();
        platform.send(new Message(MessageType.TEST, 1).withCause(0));
        assertEquals(MessageType.TEST_RESULT, platform.awaitMessage(TIMEOUT_MS).type());
    }

    @Test
    void attemptIsReleasedAtItsServerWhenTheViewerDisconnects() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "paid");
        ScriptedServer.ReceivedMessage setUp = awaitSetUpAtServers();
        viewer.close();
        ScriptedServer.ReceivedMessage release = awaitAtServers(MessageType.RELEASE);
        assertEquals(id, release.message().session());
        assertEquals(16, release.message().cause());
        // A late answer to the released attempt has no effect.
        setUp.connection().send(new Message(MessageType.ANSWER, id).with(Parameter.DESCRIPTION, "late"));
        onSetUpAtBoth(firstServer::sendAnswer);
        establishSession(connectViewer(), "free");
    }
}
