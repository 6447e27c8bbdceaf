package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/**
 * Two events that cross, on real connections, in the bad order every time: the node's loop is held until
 * both lie unread, or a peer holds back until it is told. The list of crossings is in docs/node.md.
 */
class EventRaceTest extends FrontNodeTestBase {
    private static final long NOTHING_MS = 250;

    /** Long enough for a connection that comes up late to do so. */
    @Override
    String adjustConfig(String json) {
        return json.replace("\"connect_timeout\":300.0", "\"connect_timeout\":2500.0");
    }

    /** Both servers have connections that are open and free. */
    private void connectBoth() throws Exception {
        List<ScriptedServer.ReceivedMessage> held = new CopyOnWriteArrayList<>();
        onSetUpAtBoth((wire, message) -> held.add(new ScriptedServer.ReceivedMessage(wire, message)));
        TestConnection viewer = connectViewer();
        for (int i = 0; i < 8; i++) {
            sendSetUp(viewer, "paid");
        }
        for (int i = 0; i < 8; i++) {
            assertNotNull(awaitSetUpAtServers());
        }
        for (ScriptedServer.ReceivedMessage got : held) {
            firstServer.sendAnswer(got.connection(), got.message());
        }
        for (int i = 0; i < 8; i++) {
            awaitAnswer(viewer, TIMEOUT_MS);
        }
        onSetUpAtBoth(firstServer::sendAnswer);
    }

    private Message nextAt(ScriptedServer server, MessageType type) throws InterruptedException {
        ScriptedServer.ReceivedMessage got = server.awaitMessage(type, NOTHING_MS);
        return got == null ? null : got.message();
    }

    private void noSetUpArrives() throws InterruptedException {
        assertNull(nextAt(firstServer, MessageType.SET_UP));
        assertNull(nextAt(secondServer, MessageType.SET_UP));
    }

    // ---- clients that have gone

    @Test
    void aCloseUnreadBehindItsSetUpLeavesNoAttempt() throws Exception {
        connectBoth();
        TestConnection viewer = connectViewer();
        whileLoopIsBlocked(() -> {
            sendSetUp(viewer, "free");
            viewer.close();
        });
        noSetUpArrives();
    }

    @Test
    void aCancelUnreadBehindItsSetUpLeavesNoAttempt() throws Exception {
        connectBoth();
        TestConnection viewer = connectViewer();
        whileLoopIsBlocked(() -> {
            long id = sendSetUp(viewer, "free");
            viewer.send(new Message(MessageType.RELEASE, id).withCause(16));
        });
        noSetUpArrives();
    }

    /** A server's proof lies unread in front of the close: the further attempt would be for nobody. */
    @Test
    void aCloseUnreadBehindAProofLeavesNoFurtherAttempt() throws Exception {
        connectBoth();
        onSetUpAtBoth((wire, message) -> {});
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        whileLoopIsBlocked(() -> {
            judge.nonExecutionProved(id);
            got.connection().send(new Message(MessageType.RELEASE, id).withCause(34));
            viewer.close();
        });
        noSetUpArrives();
    }

    /** On two connections the cancel may be read first. */
    @Test
    void aCancelReadBeforeItsSetUpLeavesNoAttempt() throws Exception {
        TestConnection first = connectViewer();
        TestConnection second = connectViewer();
        long id = lastSessionId + 1;
        second.send(new Message(MessageType.RELEASE, id).withCause(16));
        second.send(new Message(MessageType.TEST, 1).withCause(0));
        assertEquals(MessageType.TEST_RESULT, second.awaitMessage(TIMEOUT_MS).type(), "the release was read");
        sendSetUp(first, "free");
        noSetUpArrives();
        assertEquals(41, first.awaitMessage(TIMEOUT_MS).cause());
        establishSession(first, "free");
    }

    /** After a start: its viewer ended it while nobody held it. */
    @Test
    void aReleaseReadBeforeTheSessionIsTakenOverReachesItsServer() throws Exception {
        TestConnection viewer = connectViewer();
        viewer.send(new Message(MessageType.RELEASE, 7).withCause(16));
        judge.requestSent(7, "free");
        viewer.send(setUpMessage(7, "free", ";at:s-1"));
        Message release = nextAt(firstServer, MessageType.RELEASE);
        assertNotNull(release);
        assertEquals(7, release.session());
        assertEquals(0, node.sessionCount());
    }

    /** The connection that asked must not keep the number: it would count as waited on for good. */
    @Test
    void aCancelOnAnotherConnectionFreesItsOwn() throws Exception {
        onSetUpAtBoth((wire, message) -> {});
        TestConnection first = connectViewer();
        long id = sendSetUp(first, "free");
        assertNotNull(awaitSetUpAtServers());
        TestConnection second = connectViewer();
        second.send(new Message(MessageType.RELEASE, id).withCause(16));
        assertNotNull(awaitAtServers(MessageType.RELEASE));
        // More than there is room for: the oldest on which nobody waits makes place.
        for (int i = 0; i < 130; i++) {
            TestConnection next = connectViewer();
            next.send(new Message(MessageType.TEST, 1).withCause(0));
            assertEquals(MessageType.TEST_RESULT, next.awaitMessage(TIMEOUT_MS).type());
        }
        assertTrue(first.awaitEnd(TIMEOUT_MS));
    }

    /** Two tasks are held one after the other, so that the look falls due behind bytes that nobody read. */
    @Test
    void aSetUpUnreadWhenItsConnectionSeemsIdleIsServed() throws Exception {
        TestConnection viewer = connectViewer();
        LoopBlocker first = new LoopBlocker();
        LoopBlocker second = new LoopBlocker();
        node.eventLoop().execute(first);
        first.awaitBlocked();
        node.eventLoop().execute(second);
        // By then a look at idle connections is due, and comes behind the second task.
        CountDownLatch later = new CountDownLatch(1);
        assertFalse(later.await(1600, TimeUnit.MILLISECONDS));
        first.unblock();
        second.awaitBlocked();
        long id = sendSetUp(viewer, "free");
        second.unblock();
        assertEquals(id, awaitAnswer(viewer, TIMEOUT_MS).session());
    }

    // ---- connections to servers

    /** A close of the server's that lies unread behind a paid set-up: the set-up goes on another. */
    @Test
    void aPaidSetUpIsNotWrittenToAConnectionThatItsServerHasClosed() throws Exception {
        connectBoth();
        TestConnection viewer = connectViewer();
        whileLoopIsBlocked(() -> {
            sendSetUp(viewer, "paid");
            firstServer.closeConnections();
            secondServer.closeConnections();
        });
        // The sessions that stood lost nothing: their connections were closed in order.
        assertEquals(MessageType.ANSWER, awaitAnswer(viewer, TIMEOUT_MS).type());
    }

    /**
     * A drain that is read behind requests: attempts that were about to leave go elsewhere, and those made while
     * the others are being sent are sent too.
     */
    @Test
    void attemptsMadeWhileOthersAreBeingSentLeaveToo() throws Exception {
        connectBoth();
        ScriptedDiscovery.StreamRequest asked = discovery.awaitRequest(TIMEOUT_MS);
        TestConnection viewer = connectViewer();
        whileLoopIsBlocked(() -> {
            for (int i = 0; i < 12; i++) {
                sendSetUp(viewer, "paid");
            }
            asked.sendEvent(2, TestConfig.event(2, false, firstServer.listEntry("DRAINING")));
        });
        for (int i = 0; i < 12; i++) {
            assertEquals(MessageType.ANSWER, awaitAnswer(viewer, TIMEOUT_MS).type());
        }
        assertNull(nextAt(firstServer, MessageType.SET_UP), "nothing new to the server that drains");
    }

    /** The connection comes up 1 s late, when the server may get nothing new any more. */
    @Test
    void whatWaitsForAConnectionIsTakenBackWhenItsServerDrains() throws Exception {
        FullBacklogServer late = closeAfterTest(new FullBacklogServer());
        ScriptedDiscovery.StreamRequest asked = discovery.awaitRequest(TIMEOUT_MS);
        asked.sendEvent(
                2,
                TestConfig.event(
                        2,
                        false,
                        firstServer.listEntry("DRAINING"),
                        secondServer.listEntry("DRAINING"),
                        TestConfig.member("s-3", late.port(), "SERVING")));
        TestConnection viewer = connectViewer();
        awaitLoopIterations();
        long id = sendSetUp(viewer, "paid");
        awaitLoopIterations();
        asked.sendEvent(
                3,
                TestConfig.event(
                        3, false, TestConfig.member("s-3", late.port(), "DRAINING"), firstServer.listEntry("SERVING")));
        late.open();
        Message answer = awaitAnswer(viewer, TIMEOUT_MS);
        assertEquals(id, answer.session());
        assertEquals(MessageType.ANSWER, answer.type(), "by the other, at once");
        assertNull(late.received.poll(1500, TimeUnit.MILLISECONDS), "nothing new to a server that drains");
    }

    /** A connection given up here while it comes up is no refusal: the server lives. */
    @Test
    void aConnectionGivenUpWhileItComesUpEndsNoSession() throws Exception {
        FullBacklogServer late = closeAfterTest(new FullBacklogServer());
        ScriptedDiscovery.StreamRequest asked = discovery.awaitRequest(TIMEOUT_MS);
        asked.sendEvent(2, TestConfig.event(2, false, TestConfig.member("s-3", late.port(), "SERVING")));
        TestConnection viewer = connectViewer();
        awaitLoopIterations();
        judge.requestSent(7, "free");
        viewer.send(setUpMessage(7, "free", ";at:s-3"));
        awaitLoopIterations();
        asked.sendEvent(
                3, TestConfig.event(3, false, secondServer.listEntry("SERVING").replace("s-2", "s-3")));
        assertNull(viewer.awaitMessage(400), "it moved to another address and stands");
        assertEquals(1, node.sessionCount());
    }

    /** The request has run, its answer can't be read: what may stand there is released. */
    @Test
    void aSessionWhoseAnswerWasLostIsReleasedAtItsServer() throws Exception {
        connectBoth();
        List<String> at = new CopyOnWriteArrayList<>();
        List<Long> lost = new CopyOnWriteArrayList<>();
        firstServer.onSetUp((wire, message) -> spoil(wire, message, "s-1", at, lost));
        secondServer.onSetUp((wire, message) -> spoil(wire, message, "s-2", at, lost));
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "paid");
        assertEquals(41, awaitAnswer(viewer, TIMEOUT_MS).cause());
        assertEquals(List.of(id), lost);
        Message release = nextAt(at.get(0).equals("s-1") ? firstServer : secondServer, MessageType.RELEASE);
        assertNotNull(release);
        assertEquals(id, release.session());
    }

    /** The connection is reset under a release: the session would stand at its server for good. */
    @Test
    void aReleaseThatIsLostWithItsConnectionIsSaidAgain() throws Exception {
        TestConnection viewer = connectViewer();
        long id = establishSession(viewer, "free");
        assertNotNull(awaitSetUpAtServers());
        viewer.send(new Message(MessageType.RELEASE, id).withCause(16));
        ScriptedServer.ReceivedMessage lost = awaitAtServers(MessageType.RELEASE);
        assertEquals(id, lost.message().session());
        lost.connection().reset();
        ScriptedServer.ReceivedMessage again = awaitAtServers(MessageType.RELEASE);
        assertNotNull(again);
        assertEquals(id, again.message().session());
        again.connection().send(new Message(MessageType.RELEASE, id).withCause(31));
        awaitLoopIterations();
        again.connection().reset();
        assertNull(awaitAtServers(MessageType.RELEASE), "its server has spoken of it");
    }

    private static void spoil(TestConnection wire, Message message, String at, List<String> where, List<Long> lost) {
        where.add(at);
        lost.add(message.session());
        wire.sendRaw(new byte[] {0, 1, 9, 9, 9});
    }

    /** The node ends a connection that it needs no more; the server's word on a session is on its way. */
    @Test
    void aReleaseThatCrossesTheEndOfItsConnectionIsHeard() throws Exception {
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        awaitAnswer(viewer, TIMEOUT_MS);
        got.connection().beforeClose(() -> got.connection().send(new Message(MessageType.RELEASE, id).withCause(16)));
        ScriptedServer newOne = closeAfterTest(new ScriptedServer("s-1", judge));
        ScriptedServer newTwo = closeAfterTest(new ScriptedServer("s-2", judge));
        discovery
                .awaitRequest(TIMEOUT_MS)
                .sendEvent(2, TestConfig.event(2, false, newOne.listEntry("SERVING"), newTwo.listEntry("SERVING")));
        Message end = viewer.awaitMessage(1000);
        assertNotNull(end, "the release was read though this side had ended the connection");
        assertEquals(id, end.session());
        assertEquals(16, end.cause());
    }

    // ---- the list

    /** What refuses to tell may go on talking: none of it is the list. */
    @Test
    void whatFollowsARefusalOfTheBulletinIsNotTaken() throws Exception {
        discovery.awaitRequest(TIMEOUT_MS);
        ScriptedDiscovery refusing = closeAfterTest(new ScriptedDiscovery(
                "503 Service Unavailable",
                "id: 2\ndata: "
                        + TestConfig.event(
                                2, false, firstServer.listEntry("DELETED"), secondServer.listEntry("DELETED"))
                        + "\n\n"));
        node.reconfigure(createConfig(refusing.port(), firstServer.listEntry("SERVING")));
        assertEquals("1", refusing.awaitRequest(TIMEOUT_MS).lastEventId());
        assertEquals(
                "1",
                refusing.awaitRequest(TIMEOUT_MS).lastEventId(),
                "asked again, after the last event that was told");
        establishSession(connectViewer(), "free");
    }

    /** The address moves on while the connection to it is still coming up; then it comes up. */
    @Test
    void aBulletinThatComesUpAfterTheMoveIsNotAsked() throws Exception {
        discovery.awaitRequest(TIMEOUT_MS);
        ScriptedDiscovery old = closeAfterTest(new ScriptedDiscovery());
        ScriptedDiscovery fresh = closeAfterTest(new ScriptedDiscovery());
        whileLoopIsBlocked(() -> {
            node.reconfigure(createConfig(old.port(), firstServer.listEntry("SERVING")));
            node.reconfigure(createConfig(fresh.port(), firstServer.listEntry("SERVING")));
        });
        assertNotNull(fresh.awaitRequest(TIMEOUT_MS));
        assertNull(old.awaitRequest(NOTHING_MS));
    }

    /** What was told since the configuration was written counts: it is asked for before viewers come. */
    @Test
    void aStartAsksForTheListBeforeItServes() throws Exception {
        ScriptedDiscovery own = closeAfterTest(new ScriptedDiscovery());
        NodeConfig config =
                createConfig(own.port(), firstServer.listEntry("SERVING"), secondServer.listEntry("SERVING"));
        node.close();
        node = FrontNode.start(config, EventSink.none(), EventSink.none(), () -> {
            try {
                own.awaitRequest(TIMEOUT_MS)
                        .sendEvent(2, TestConfig.event(2, false, firstServer.listEntry("DRAINING")));
            } catch (IOException | InterruptedException e) {
                throw new AssertionError(e);
            }
        });
        nothingGoesToOne();
    }

    /** The list comes late, after all else is ready: viewers wait for it. */
    @Test
    void aStartServesNobodyUntilTheListIsKnown() throws Exception {
        try (ServerSocket own = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            NodeConfig config = createConfig(
                    own.getLocalPort(), firstServer.listEntry("SERVING"), secondServer.listEntry("SERVING"));
            node.close();
            CountDownLatch ready = new CountDownLatch(1);
            CompletableFuture<FrontNode> starting = CompletableFuture.supplyAsync(() -> {
                try {
                    return FrontNode.start(config, EventSink.none(), EventSink.none(), ready::countDown);
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            Socket asked = own.accept();
            ready.await();
            assertThrows(TimeoutException.class, () -> starting.get(400, TimeUnit.MILLISECONDS));
            assertTrue(TestConnection.isConnectionRefused(config.listen().getPort()));
            asked.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: "
                                    + TestConfig.event(2, false, firstServer.listEntry("DRAINING")) + "\n\n")
                            .getBytes(StandardCharsets.UTF_8));
            node = starting.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            nothingGoesToOne();
            asked.close();
        }
    }

    private void nothingGoesToOne() throws Exception {
        TestConnection viewer = connectViewer();
        for (int i = 0; i < 5; i++) {
            establishSession(viewer, "free");
        }
        assertNull(nextAt(firstServer, MessageType.SET_UP));
    }

    // ---- the stop

    /** Its answers are in this process's buffers: their reader is slow. */
    @Test
    void aStopWaitsUntilItsAnswersHaveGoneOut() throws Exception {
        onSetUpAtBoth((wire, message) -> big(wire, message));
        TestConnection slow = closeAfterTest(
                TestConnection.connectWithoutReading(node.address().getPort(), 4096));
        List<Long> asked = new ArrayList<>();
        for (int i = 0; i < 400 && !node.hasUnflushed(); i++) {
            asked.add(sendSetUp(slow, "free"));
            assertNotNull(awaitSetUpAtServers());
        }
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        assertFalse(done.await(1500, TimeUnit.MILLISECONDS));
        slow.startReading();
        assertTrue(done.await(1, TimeUnit.SECONDS));
        // Two servers answer on connections of their own: in no order, each once.
        List<Long> answered = new ArrayList<>();
        for (int i = 0; i < asked.size(); i++) {
            answered.add(awaitAnswer(slow, TIMEOUT_MS).session());
        }
        Collections.sort(answered);
        assertEquals(asked, answered);
    }

    private void big(TestConnection wire, Message message) {
        byte[] description = new byte[15_000];
        judge.descriptionIssued(message.session(), description);
        wire.send(new Message(MessageType.ANSWER, message.session()).with(Parameter.DESCRIPTION, description));
    }

    /** Its viewer would hear of the end from nobody. */
    @Test
    void aStopWaitsUntilAReleaseIsHeard() throws Exception {
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        awaitAnswer(viewer, TIMEOUT_MS);
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        assertFalse(done.await(600, TimeUnit.MILLISECONDS));
        got.connection().send(new Message(MessageType.RELEASE, id).withCause(16));
        assertEquals(id, viewer.awaitMessage(TIMEOUT_MS).session());
        assertFalse(done.await(600, TimeUnit.MILLISECONDS));
        viewer.send(new Message(MessageType.RELEASE_ACKNOWLEDGED, id));
        assertTrue(done.await(500, TimeUnit.MILLISECONDS));
    }

    /** A paid session at a silent server has its whole deadline, and its answer before the kill. */
    @Test
    void aStopAnswersWhatNoServerAnswersBeforeTheKill() throws Exception {
        onSetUpAtBoth((wire, message) -> {});
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        TestConnection viewer = connectViewer();
        long id = ++lastSessionId;
        judge.requestSent(id, "paid");
        Message patient = new Message(MessageType.SET_UP, id)
                .with(Parameter.CLASS, "paid")
                .with(Parameter.WAIT, "8000")
                .with(Parameter.TITLE, "7f3a9c21e0b4d655")
                .with(Parameter.ATTRIBUTES, "home:0;copies:1;top:2;viewer:00000000b4d65521")
                .with(Parameter.DESCRIPTION, "v=0");
        viewer.send(patient);
        assertTrue(done.await(3700, TimeUnit.MILLISECONDS));
        assertEquals(id, awaitAnswer(viewer, 1000).session());
    }

    /** A connection that comes when nothing more is served is refused, not accepted and cut. */
    @Test
    void aStopRefusesConnectionsOnceItServesNoMore() throws Exception {
        onSetUpAtBoth((wire, message) -> {});
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
        assertEquals(1, done.getCount(), "an answer is still owed");
        awaitAnswer(viewer, TIMEOUT_MS);
    }
}
