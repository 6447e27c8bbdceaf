package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import spanrill.node.config.NodeConfig;
import spanrill.session.EventSink;
import spanrill.wire.platform.Cause;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/**
 * Tests races of two events on real connections, always in the adverse order: the node's event loop is blocked until
 * both events are unread, or a peer waits for the test. The races are listed in docs/node.md.
 */
class EventRaceTest extends FrontNodeTestBase {
    private static final long SILENCE_MS = 250;

    /** The connect time-out is long enough for a connection that is established late. */
    @Override
    String adjustConfig(String json) {
        return json.replace("\"connect_timeout\":300.0", "\"connect_timeout\":2500.0");
    }

    /** Makes the node open several connections to both servers and leaves them idle. */
    private void openConnectionsToBoth() throws Exception {
        List<ScriptedServer.ReceivedMessage> setUps = new CopyOnWriteArrayList<>();
        onSetUpAtBoth((connection, message) -> setUps.add(new ScriptedServer.ReceivedMessage(connection, message)));
        TestConnection viewer = connectViewer();
        for (int i = 0; i < 8; i++) {
            sendSetUp(viewer, "paid");
        }
        for (int i = 0; i < 8; i++) {
            assertNotNull(awaitSetUpAtServers());
        }
        for (ScriptedServer.ReceivedMessage received : setUps) {
            firstServer.sendAnswer(received.connection(), received.message());
        }
        for (int i = 0; i < 8; i++) {
            awaitAnswer(viewer, TIMEOUT_MS);
        }
        onSetUpAtBoth(firstServer::sendAnswer);
    }

    private Message awaitMessageAt(ScriptedServer server, MessageType type) throws InterruptedException {
        ScriptedServer.ReceivedMessage received = server.awaitMessage(type, SILENCE_MS);
        return received == null ? null : received.message();
    }

    private void verifyNoSetUpArrives() throws InterruptedException {
        assertNull(awaitMessageAt(firstServer, MessageType.SET_UP));
        assertNull(awaitMessageAt(secondServer, MessageType.SET_UP));
    }

    // ---- clients that leave

    /**
     * Guards against a set-up sent together with those read one iteration earlier, before its viewer's close is read.
     */
    @Test
    void setUpIsNotSentWithEarlierOnesWhileCloseIsUnreadBehindIt() throws Exception {
        BlockingLog trace = new BlockingLog("request");
        NodeConfig config =
                createConfig(discovery.port(), firstServer.listEntry("SERVING"), secondServer.listEntry("SERVING"));
        discovery.awaitRequest(TIMEOUT_MS);
        node.close();
        node = FrontNode.start(config, EventSink.none(), trace);
        openConnectionsToBoth();
        TestConnection earlier = connectViewer();
        TestConnection leaving = connectViewer();
        awaitLoopIterations();
        trace.arm();
        long earlierId = sendSetUp(earlier, "free");
        assertTrue(trace.awaitBlocked(TIMEOUT_MS));
        long abandonedId = sendSetUp(leaving, "free");
        leaving.close();
        trace.release();
        assertEquals(earlierId, awaitAnswer(earlier, TIMEOUT_MS).session());
        awaitLoopIterations();
        for (ScriptedServer server : List.of(firstServer, secondServer)) {
            assertFalse(server.received.stream()
                    .anyMatch(received -> received.message().session() == abandonedId));
        }
    }

    /** Guards against a paid set-up that runs twice because it crosses a close or a reset (review/6). */
    @Test
    void paidSetUpThatCrossesTheEndOfItsConnectionRunsOnce() throws Exception {
        for (boolean reset : new boolean[] {true, false}) {
            onSetUpAtBoth((connection, setUp) -> {});
            TestConnection viewer = connectViewer();
            long id = sendSetUp(viewer, "paid");
            assertEquals(id, awaitSetUpAtServers().message().session());
            if (reset) {
                viewer.reset();
            } else {
                viewer.close();
            }
            awaitLoopIterations();
            TestConnection next = connectViewer();
            next.send(setUpMessage(id, "paid", ""));
            Message answer = awaitAnswer(next, TIMEOUT_MS);
            assertEquals(MessageType.RELEASE, answer.type());
            assertEquals(Cause.TEMPORARY_FAILURE, answer.cause());
            verifyNoSetUpArrives();
        }
    }

    /** Guards against requests that are sent on while a long rest of the input is unread, with a close at its end. */
    @Test
    void setUpsAreNotAttemptedWhenCloseIsUnreadBehindManyOthers() throws Exception {
        openConnectionsToBoth();
        TestConnection viewer = connectViewer();
        ByteBuf requests = Unpooled.buffer();
        for (int i = 0; i < 400; i++) {
            judge.requestSent(++lastSessionId, "free");
            setUpMessage(lastSessionId, "free", "").write(requests);
        }
        whileLoopIsBlocked(() -> {
            // One write, which the receiver's buffer takes whole: some 45 KB.
            viewer.sendRaw(ByteBufUtil.getBytes(requests));
            viewer.close();
        });
        verifyNoSetUpArrives();
    }

    /** Guards against clients that keep the node busy with tests, each of which is answered (issue 60). */
    @Test
    void connectionThatTestsAtFullSpeedIsClosed() throws Exception {
        TestConnection flooding = connectViewer();
        TestConnection viewer = connectViewer();
        for (int i = 0; i < 300; i++) {
            flooding.send(new Message(MessageType.TEST, i).withCause(0));
        }
        assertTrue(flooding.awaitEnd(TIMEOUT_MS));
        establishSession(viewer, "free");
    }

    /** Guards against a client that keeps the node busy with requests that it withdraws at once (issue 60). */
    @Test
    void connectionOnWhichRequestsAreWithdrawnAtFullSpeedIsClosed() throws Exception {
        TestConnection flooding = connectViewer();
        TestConnection viewer = connectViewer();
        whileLoopIsBlocked(() -> {
            for (int i = 0; i < 300; i++) {
                long id = ++lastSessionId;
                flooding.send(setUpMessage(id, "free", ""));
                flooding.send(new Message(MessageType.RELEASE, id).withCause(Cause.NORMAL_CLEARING));
            }
        });
        assertTrue(flooding.awaitEnd(TIMEOUT_MS));
        establishSession(viewer, "free");
    }

    @Test
    void setUpIsNotAttemptedWhenCloseIsUnreadBehindIt() throws Exception {
        openConnectionsToBoth();
        TestConnection viewer = connectViewer();
        whileLoopIsBlocked(() -> {
            sendSetUp(viewer, "free");
            viewer.close();
        });
        verifyNoSetUpArrives();
    }

    @Test
    void setUpIsNotAttemptedWhenReleaseIsUnreadBehindIt() throws Exception {
        openConnectionsToBoth();
        TestConnection viewer = connectViewer();
        whileLoopIsBlocked(() -> {
            long id = sendSetUp(viewer, "free");
            viewer.send(new Message(MessageType.RELEASE, id).withCause(16));
        });
        verifyNoSetUpArrives();
    }

    /** The refusal, which proves that the set-up never ran, is unread before the close: a retry would serve nobody. */
    @Test
    void refusedSetUpIsNotRetriedWhenCloseIsUnreadBehindRefusal() throws Exception {
        openConnectionsToBoth();
        onSetUpAtBoth((connection, message) -> {});
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage received = awaitSetUpAtServers();
        whileLoopIsBlocked(() -> {
            judge.nonExecutionProved(id);
            received.connection().send(new Message(MessageType.RELEASE, id).withCause(34));
            viewer.close();
        });
        verifyNoSetUpArrives();
    }

    /** With two connections, the release may be read before the set-up. */
    @Test
    void setUpIsNotAttemptedWhenReleaseIsReadFirst() throws Exception {
        TestConnection first = connectViewer();
        TestConnection second = connectViewer();
        long id = lastSessionId + 1;
        second.send(new Message(MessageType.RELEASE, id).withCause(16));
        second.send(new Message(MessageType.TEST, 1).withCause(0));
        assertEquals(
                MessageType.TEST_RESULT,
                second.awaitMessage(TIMEOUT_MS).type(),
                "the release was read before the set-up");
        sendSetUp(first, "free");
        verifyNoSetUpArrives();
        assertEquals(41, first.awaitMessage(TIMEOUT_MS).cause());
        establishSession(first, "free");
    }

    /** After a start, the viewer may have ended the session while no node held it. */
    @Test
    void releaseReadBeforeTakeOverReachesServer() throws Exception {
        TestConnection viewer = connectViewer();
        viewer.send(new Message(MessageType.RELEASE, 7).withCause(16));
        judge.requestSent(7, "free");
        viewer.send(setUpMessage(7, "free", ";at:s-1"));
        Message release = awaitMessageAt(firstServer, MessageType.RELEASE);
        assertNotNull(release);
        assertEquals(7, release.session());
        assertEquals(0, node.sessionCount());
    }

    /** The connection of the set-up must not keep the id as an open request: it could never be evicted. */
    @Test
    void releaseOnAnotherConnectionLetsOwnConnectionBeEvicted() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        TestConnection first = connectViewer();
        long id = sendSetUp(first, "free");
        assertNotNull(awaitSetUpAtServers());
        TestConnection second = connectViewer();
        second.send(new Message(MessageType.RELEASE, id).withCause(16));
        assertNotNull(awaitAtServers(MessageType.RELEASE));
        // More connections than the limit: the oldest one without an open request is evicted.
        for (int i = 0; i < 130; i++) {
            TestConnection next = connectViewer();
            next.send(new Message(MessageType.TEST, 1).withCause(0));
            assertEquals(MessageType.TEST_RESULT, next.awaitMessage(TIMEOUT_MS).type());
        }
        assertTrue(first.awaitEnd(TIMEOUT_MS));
    }

    /** Two tasks block the loop one after the other, so that the idle check is due while a set-up is unread. */
    @Test
    void unreadSetUpIsServedWhenIdleCheckIsDue() throws Exception {
        TestConnection viewer = connectViewer();
        LoopBlocker first = new LoopBlocker();
        LoopBlocker second = new LoopBlocker();
        node.eventLoop().execute(first);
        first.awaitBlocked();
        node.eventLoop().execute(second);
        // The check for idle connections is due by then and runs after the second task.
        CountDownLatch never = new CountDownLatch(1);
        assertFalse(never.await(1600, TimeUnit.MILLISECONDS));
        first.unblock();
        second.awaitBlocked();
        long id = sendSetUp(viewer, "free");
        second.unblock();
        assertEquals(id, awaitAnswer(viewer, TIMEOUT_MS).session());
    }

    // ---- connections to servers

    /** The server's close is unread when the paid set-up is read: the set-up is written to another connection. */
    @Test
    void paidSetUpIsNotWrittenToConnectionClosedByServer() throws Exception {
        openConnectionsToBoth();
        TestConnection viewer = connectViewer();
        whileLoopIsBlocked(() -> {
            sendSetUp(viewer, "paid");
            firstServer.closeConnections();
            secondServer.closeConnections();
        });
        // Established sessions are not affected, since their connections were closed in order.
        assertEquals(MessageType.ANSWER, awaitAnswer(viewer, TIMEOUT_MS).type());
    }

    /**
     * A drain is read after requests: attempts that are not sent yet go to the other server, and attempts that are made
     * while others are being sent are sent as well.
     */
    @Test
    void attemptsMadeWhileOthersAreSentAreSentToo() throws Exception {
        openConnectionsToBoth();
        ScriptedDiscovery.StreamRequest request = discovery.awaitRequest(TIMEOUT_MS);
        TestConnection viewer = connectViewer();
        whileLoopIsBlocked(() -> {
            for (int i = 0; i < 12; i++) {
                sendSetUp(viewer, "paid");
            }
            request.sendEvent(2, TestConfig.event(2, false, firstServer.listEntry("DRAINING")));
        });
        for (int i = 0; i < 12; i++) {
            assertEquals(MessageType.ANSWER, awaitAnswer(viewer, TIMEOUT_MS).type());
        }
        assertNull(awaitMessageAt(firstServer, MessageType.SET_UP), "no new set-up to a draining server");
    }

    /** The connection is established 1 s late, when the server must not get new set-ups any more. */
    @Test
    void setUpWaitingForConnectionGoesElsewhereWhenServerDrains() throws Exception {
        FullBacklogServer lateServer = closeAfterTest(new FullBacklogServer());
        ScriptedDiscovery.StreamRequest request = discovery.awaitRequest(TIMEOUT_MS);
        request.sendEvent(
                2,
                TestConfig.event(
                        2,
                        false,
                        firstServer.listEntry("DRAINING"),
                        secondServer.listEntry("DRAINING"),
                        TestConfig.member("s-3", lateServer.port(), "SERVING")));
        TestConnection viewer = connectViewer();
        awaitLoopIterations();
        long id = sendSetUp(viewer, "paid");
        awaitLoopIterations();
        request.sendEvent(
                3,
                TestConfig.event(
                        3,
                        false,
                        TestConfig.member("s-3", lateServer.port(), "DRAINING"),
                        firstServer.listEntry("SERVING")));
        lateServer.open();
        Message answer = awaitAnswer(viewer, TIMEOUT_MS);
        assertEquals(id, answer.session());
        assertEquals(MessageType.ANSWER, answer.type(), "answered by the other server at once");
        assertNull(lateServer.received.poll(1500, TimeUnit.MILLISECONDS), "no new set-up to a draining server");
    }

    /** A connect aborted by the node is no refusal: the server may be alive. */
    @Test
    void connectAbortedByNodeEndsNoSession() throws Exception {
        FullBacklogServer lateServer = closeAfterTest(new FullBacklogServer());
        ScriptedDiscovery.StreamRequest request = discovery.awaitRequest(TIMEOUT_MS);
        request.sendEvent(2, TestConfig.event(2, false, TestConfig.member("s-3", lateServer.port(), "SERVING")));
        TestConnection viewer = connectViewer();
        awaitLoopIterations();
        judge.requestSent(7, "free");
        viewer.send(setUpMessage(7, "free", ";at:s-3"));
        awaitLoopIterations();
        request.sendEvent(
                3, TestConfig.event(3, false, secondServer.listEntry("SERVING").replace("s-2", "s-3")));
        assertNull(viewer.awaitMessage(400), "the server moved to another address and the session stays established");
        assertEquals(1, node.sessionCount());
    }

    /** The set-up has run but its answer cannot be parsed: the session that may exist at the server is released. */
    @Test
    void sessionWithUnparsableAnswerIsReleasedAtServer() throws Exception {
        openConnectionsToBoth();
        List<String> servers = new CopyOnWriteArrayList<>();
        List<Long> sessions = new CopyOnWriteArrayList<>();
        firstServer.onSetUp(
                (connection, message) -> sendUnparsableAnswer(connection, message, "s-1", servers, sessions));
        secondServer.onSetUp(
                (connection, message) -> sendUnparsableAnswer(connection, message, "s-2", servers, sessions));
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "paid");
        assertEquals(41, awaitAnswer(viewer, TIMEOUT_MS).cause());
        assertEquals(List.of(id), sessions);
        Message release =
                awaitMessageAt(servers.get(0).equals("s-1") ? firstServer : secondServer, MessageType.RELEASE);
        assertNotNull(release);
        assertEquals(id, release.session());
    }

    /**
     * The connection is reset after a release was written: without a retransmission the server would keep the session.
     */
    @Test
    void releaseIsRetransmittedAfterConnectionLoss() throws Exception {
        TestConnection viewer = connectViewer();
        long id = establishSession(viewer, "free");
        assertNotNull(awaitSetUpAtServers());
        viewer.send(new Message(MessageType.RELEASE, id).withCause(16));
        ScriptedServer.ReceivedMessage lostRelease = awaitAtServers(MessageType.RELEASE);
        assertEquals(id, lostRelease.message().session());
        lostRelease.connection().reset();
        ScriptedServer.ReceivedMessage retransmitted = awaitAtServers(MessageType.RELEASE);
        assertNotNull(retransmitted);
        assertEquals(id, retransmitted.message().session());
        retransmitted.connection().send(new Message(MessageType.RELEASE, id).withCause(31));
        awaitLoopIterations();
        retransmitted.connection().reset();
        assertNull(awaitAtServers(MessageType.RELEASE), "the server has acknowledged the release");
    }

    private static void sendUnparsableAnswer(
            TestConnection connection, Message message, String server, List<String> servers, List<Long> sessions) {
        servers.add(server);
        sessions.add(message.session());
        connection.sendRaw(new byte[] {0, 1, 9, 9, 9});
    }

    /** The node closes a connection that it does not need while the server's release of a session is in transit. */
    @Test
    void releaseReceivedOnClosingConnectionIsProcessed() throws Exception {
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage received = awaitSetUpAtServers();
        awaitAnswer(viewer, TIMEOUT_MS);
        received.connection()
                .beforeClose(() -> received.connection().send(new Message(MessageType.RELEASE, id).withCause(16)));
        ScriptedServer newFirstServer = closeAfterTest(new ScriptedServer("s-1", judge));
        ScriptedServer newSecondServer = closeAfterTest(new ScriptedServer("s-2", judge));
        discovery
                .awaitRequest(TIMEOUT_MS)
                .sendEvent(
                        2,
                        TestConfig.event(
                                2, false, newFirstServer.listEntry("SERVING"), newSecondServer.listEntry("SERVING")));
        Message end = viewer.awaitMessage(1000);
        assertNotNull(end, "the release is read although the node has closed its side of the connection");
        assertEquals(id, end.session());
        assertEquals(16, end.cause());
    }

    // ---- the list

    /** A response with an error status may have a body with events: it must not be applied to the server list. */
    @Test
    void bodyOfDiscoveryErrorResponseIsIgnored() throws Exception {
        discovery.awaitRequest(TIMEOUT_MS);
        ScriptedDiscovery failingDiscovery = closeAfterTest(new ScriptedDiscovery(
                "503 Service Unavailable",
                "id: 2\ndata: "
                        + TestConfig.event(
                                2, false, firstServer.listEntry("DELETED"), secondServer.listEntry("DELETED"))
                        + "\n\n"));
        node.reconfigure(createConfig(failingDiscovery.port(), firstServer.listEntry("SERVING")));
        assertEquals("1", failingDiscovery.awaitRequest(TIMEOUT_MS).lastEventId());
        assertEquals(
                "1",
                failingDiscovery.awaitRequest(TIMEOUT_MS).lastEventId(),
                "requested again from the last event that was applied");
        establishSession(connectViewer(), "free");
    }

    /** The address is changed again while the connection to the previous one is being established. */
    @Test
    void previousDiscoveryAddressIsNotQueriedAfterReconfiguration() throws Exception {
        discovery.awaitRequest(TIMEOUT_MS);
        ScriptedDiscovery oldDiscovery = closeAfterTest(new ScriptedDiscovery());
        ScriptedDiscovery newDiscovery = closeAfterTest(new ScriptedDiscovery());
        whileLoopIsBlocked(() -> {
            node.reconfigure(createConfig(oldDiscovery.port(), firstServer.listEntry("SERVING")));
            node.reconfigure(createConfig(newDiscovery.port(), firstServer.listEntry("SERVING")));
        });
        assertNotNull(newDiscovery.awaitRequest(TIMEOUT_MS));
        assertNull(oldDiscovery.awaitRequest(SILENCE_MS));
    }

    /** Events since the configuration was written count, so the list is requested before viewers are served. */
    @Test
    void startRequestsServerListBeforeServing() throws Exception {
        ScriptedDiscovery ownDiscovery = closeAfterTest(new ScriptedDiscovery());
        NodeConfig config =
                createConfig(ownDiscovery.port(), firstServer.listEntry("SERVING"), secondServer.listEntry("SERVING"));
        node.close();
        node = FrontNode.start(config, EventSink.none(), EventSink.none(), () -> {
            try {
                ownDiscovery
                        .awaitRequest(TIMEOUT_MS)
                        .sendEvent(2, TestConfig.event(2, false, firstServer.listEntry("DRAINING")));
            } catch (IOException | InterruptedException e) {
                throw new AssertionError(e);
            }
        });
        verifyNoSetUpAtFirstServer();
    }

    /** The list arrives after everything else is ready: the node does not listen before. */
    @Test
    void startDoesNotListenUntilServerListIsKnown() throws Exception {
        try (ServerSocket ownDiscovery = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            NodeConfig config = createConfig(
                    ownDiscovery.getLocalPort(), firstServer.listEntry("SERVING"), secondServer.listEntry("SERVING"));
            node.close();
            CountDownLatch ready = new CountDownLatch(1);
            CompletableFuture<FrontNode> starting = CompletableFuture.supplyAsync(() -> {
                try {
                    return FrontNode.start(config, EventSink.none(), EventSink.none(), ready::countDown);
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            Socket discoveryConnection = ownDiscovery.accept();
            ready.await();
            assertThrows(TimeoutException.class, () -> starting.get(400, TimeUnit.MILLISECONDS));
            assertTrue(TestConnection.isConnectionRefused(config.listen().getPort()));
            discoveryConnection
                    .getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: "
                                    + TestConfig.event(2, false, firstServer.listEntry("DRAINING")) + "\n\n")
                            .getBytes(StandardCharsets.UTF_8));
            node = starting.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            verifyNoSetUpAtFirstServer();
            discoveryConnection.close();
        }
    }

    private void verifyNoSetUpAtFirstServer() throws Exception {
        TestConnection viewer = connectViewer();
        for (int i = 0; i < 5; i++) {
            establishSession(viewer, "free");
        }
        assertNull(awaitMessageAt(firstServer, MessageType.SET_UP));
    }

    // ---- the stop

    /** Answers to a slow reader are still in the node's buffers. */
    @Test
    void stopWaitsUntilAnswersAreFlushed() throws Exception {
        onSetUpAtBoth((connection, message) -> sendLargeAnswer(connection, message));
        TestConnection slow = closeAfterTest(
                TestConnection.connectWithoutReading(node.address().getPort(), 4096));
        List<Long> requestIds = new ArrayList<>();
        for (int i = 0; i < 400 && !node.hasUnflushed(); i++) {
            requestIds.add(sendSetUp(slow, "free"));
            assertNotNull(awaitSetUpAtServers());
        }
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        assertFalse(done.await(1500, TimeUnit.MILLISECONDS));
        slow.startReading();
        assertTrue(done.await(1, TimeUnit.SECONDS));
        // The two servers answer on separate connections, so each answer arrives once, in any order.
        List<Long> answeredIds = new ArrayList<>();
        for (int i = 0; i < requestIds.size(); i++) {
            answeredIds.add(awaitAnswer(slow, TIMEOUT_MS).session());
        }
        Collections.sort(answeredIds);
        assertEquals(requestIds, answeredIds);
    }

    private void sendLargeAnswer(TestConnection connection, Message message) {
        byte[] description = new byte[15_000];
        judge.descriptionIssued(message.session(), description);
        connection.send(new Message(MessageType.ANSWER, message.session()).with(Parameter.DESCRIPTION, description));
    }

    /** If the node ended before, no one would tell the viewer of the end of its session. */
    @Test
    void stopWaitsUntilReleaseIsAcknowledged() throws Exception {
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage received = awaitSetUpAtServers();
        awaitAnswer(viewer, TIMEOUT_MS);
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        assertFalse(done.await(600, TimeUnit.MILLISECONDS));
        received.connection().send(new Message(MessageType.RELEASE, id).withCause(16));
        assertEquals(id, viewer.awaitMessage(TIMEOUT_MS).session());
        assertFalse(done.await(600, TimeUnit.MILLISECONDS));
        viewer.send(new Message(MessageType.RELEASE_ACKNOWLEDGED, id));
        assertTrue(done.await(500, TimeUnit.MILLISECONDS));
    }

    /**
     * A paid set-up at a silent server keeps as much of its deadline as the shutdown allows, and is answered before the
     * process is killed.
     */
    @Test
    void stopFailsUnansweredRequestBeforeKill() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        TestConnection viewer = connectViewer();
        long id = ++lastSessionId;
        judge.requestSent(id, "paid");
        Message setUp = new Message(MessageType.SET_UP, id)
                .with(Parameter.CLASS, "paid")
                .with(Parameter.WAIT, "8000")
                .with(Parameter.TITLE, "7f3a9c21e0b4d655")
                .with(Parameter.ATTRIBUTES, "home:0;copies:1;top:2;viewer:00000000b4d65521")
                .with(Parameter.DESCRIPTION, "v=0");
        viewer.send(setUp);
        assertTrue(done.await(3700, TimeUnit.MILLISECONDS));
        assertEquals(id, awaitAnswer(viewer, 1000).session());
    }

    /** A new connection after the end of service is refused, not accepted and closed. */
    @Test
    void stopRefusesConnectionsAfterEndOfService() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        TestConnection viewer = connectViewer();
        sendSetUp(viewer, "paid");
        assertNotNull(awaitSetUpAtServers());
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        boolean refused = false;
        for (int i = 0; i < 60 && !refused; i++) {
            refused = done.await(20, TimeUnit.MILLISECONDS)
                    || TestConnection.isConnectionRefused(node.address().getPort());
        }
        assertTrue(refused);
        assertEquals(1, done.getCount(), "an answer is still pending");
        awaitAnswer(viewer, TIMEOUT_MS);
    }
}
