package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** The node's whole path: calm service, servers that end, discovery, a stop. */
class FrontNodeTest extends FrontNodeTestBase {
    // ---- calm service

    @Test
    void aSessionIsSetUpPlaysAndIsReleased() throws Exception {
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "paid");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        Message setUp = got.message();
        assertEquals("paid", setUp.text(Parameter.CLASS));
        assertEquals("7f3a9c21e0b4d655", setUp.text(Parameter.TITLE));
        assertArrayEquals("v=0".getBytes(StandardCharsets.UTF_8), setUp.get(Parameter.DESCRIPTION));
        assertTrue(Integer.parseInt(setUp.text(Parameter.WAIT)) <= 1500);
        assertTrue(Integer.parseInt(setUp.text(Parameter.RUNG)) >= 1, "never below the floor");
        Message answer = awaitAnswer(viewer, TIMEOUT_MS);
        assertEquals(MessageType.ANSWER, answer.type());
        assertTrue(answer.text(Parameter.DESCRIPTION).endsWith("/" + id));
        got.connection().send(new Message(MessageType.RELEASE, id).withCause(16));
        assertEquals(16, viewer.awaitMessage(TIMEOUT_MS).cause());
        assertEquals(0, node.sessionCount());
    }

    @Test
    void passesTheTestOfThePlatform() throws Exception {
        TestConnection platform = connectViewer();
        platform.send(new Message(MessageType.TEST, 5).withCause(0));
        Message result = platform.awaitMessage(TIMEOUT_MS);
        assertEquals(MessageType.TEST_RESULT, result.type());
        assertEquals(1, result.cause());
    }

    /** The wait of a session that plays already is no time; the session must not be refused for that. */
    @Test
    void sessionsOfAStartAreHeldAndReleasedOnAnyConnection() throws Exception {
        TestConnection viewer = connectViewer();
        for (long id = 1; id <= 2; id++) {
            judge.requestSent(id, "free");
            Message stands = new Message(MessageType.SET_UP, id)
                    .with(Parameter.CLASS, "free")
                    .with(Parameter.WAIT, "inf")
                    .with(Parameter.TITLE, "7f3a9c21e0b4d655")
                    .with(Parameter.ATTRIBUTES, "home:0;copies:1;top:2;viewer:00000000b4d65521;at:s-1")
                    .with(Parameter.DESCRIPTION, "v=0");
            viewer.send(stands);
            viewer.send(stands);
        }
        establishSession(viewer, "free");
        assertEquals(3, node.sessionCount());
        firstServer.close();
        for (int i = 0; i < 2; i++) {
            assertEquals(41, viewer.awaitMessage(TIMEOUT_MS).cause());
        }
    }

    @Test
    void aViewerEndsASessionFromAnotherConnection() throws Exception {
        TestConnection viewer = connectViewer();
        long id = establishSession(viewer, "free");
        connectViewer().send(new Message(MessageType.RELEASE, id).withCause(16));
        ScriptedServer.ReceivedMessage release = awaitAtServers(MessageType.RELEASE);
        assertEquals(id, release.message().session());
        Message end = viewer.awaitMessage(TIMEOUT_MS);
        assertEquals(id, end.session(), "a give-up may have crossed the answer: its end is told");
        assertEquals(16, end.cause());
    }

    @Test
    void theEndOfASessionReachesItsViewerOnAnotherConnection() throws Exception {
        TestConnection first = connectViewer();
        long id = sendSetUp(first, "free");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        awaitAnswer(first, TIMEOUT_MS);
        first.close();
        TestConnection second = connectViewer();
        establishSession(second, "free");
        got.connection().send(new Message(MessageType.RELEASE, id).withCause(16));
        Message end = second.awaitMessage(TIMEOUT_MS);
        assertEquals(id, end.session());
        assertEquals(16, end.cause());
    }

    /**
     * Guards against releases that are sent where no viewer listens: the platform's tests come on
     * connections of their own, and a connection may be ending. Seen on days with bad clients.
     */
    @Test
    void aReleaseThatNobodyHeardIsSentAgainAndNeverOnATestsConnection() throws Exception {
        TestConnection first = connectViewer();
        long id = sendSetUp(first, "free");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        awaitAnswer(first, TIMEOUT_MS);
        first.close();
        TestConnection platform = connectViewer();
        platform.send(new Message(MessageType.TEST, 1).withCause(0));
        platform.awaitMessage(TIMEOUT_MS);
        got.connection().send(new Message(MessageType.RELEASE, id).withCause(16));
        assertNull(platform.awaitMessage(200), "a release on a connection for tests");
        TestConnection second = connectViewer();
        establishSession(second, "free");
        assertEquals(id, second.awaitMessage(TIMEOUT_MS).session());
        assertEquals(id, second.awaitMessage(TIMEOUT_MS).session(), "not heard: again");
        second.send(new Message(MessageType.RELEASE_ACKNOWLEDGED, id));
        Message more = second.awaitMessage(600);
        assertTrue(more == null || second.awaitMessage(600) == null, "heard: no further one but what crossed");
    }

    // ---- discovery

    @Test
    void followsTheBulletinOverBreaksCopiesAndCutOffEvents() throws Exception {
        ScriptedDiscovery.StreamRequest first = discovery.awaitRequest(TIMEOUT_MS);
        assertEquals("/bulletins", first.path());
        assertEquals("1", first.lastEventId());
        first.sendEvent(2, TestConfig.event(2, false, firstServer.listEntry("DRAINING")));
        first.sendEvent(2, TestConfig.event(2, false, firstServer.listEntry("DRAINING")));
        first.write("id: 3\ndata: {\"no\":3,\"roster\":{\"revi");
        first.socket().close();
        ScriptedDiscovery.StreamRequest second = discovery.awaitRequest(TIMEOUT_MS);
        assertEquals("2", second.lastEventId(), "the event that was cut off was not applied");
        // Of a wrong type: refused whole, and asked for again.
        second.sendEvent(
                3,
                TestConfig.event(3, false, secondServer.listEntry("DRAINING")).replace("\"cell\":0", "\"cell\":\"x\""));
        ScriptedDiscovery.StreamRequest third = discovery.awaitRequest(TIMEOUT_MS);
        assertEquals("2", third.lastEventId());
        TestConnection viewer = connectViewer();
        for (int i = 0; i < 5; i++) {
            establishSession(viewer, "free");
        }
        assertNull(firstServer.awaitMessage(MessageType.SET_UP, 50), "nothing new to a server that drains");
    }

    @Test
    void aGapLeadsToANewRequest() throws Exception {
        ScriptedDiscovery.StreamRequest first = discovery.awaitRequest(TIMEOUT_MS);
        first.sendEvent(7, TestConfig.event(7, false, firstServer.listEntry("DRAINING")));
        assertEquals("1", discovery.awaitRequest(TIMEOUT_MS).lastEventId());
    }

    @Test
    void aBulletinThatStopsIsAskedAgain() throws Exception {
        discovery.awaitRequest(TIMEOUT_MS);
        assertNotNull(discovery.awaitRequest(3500), "silent for more than two comments");
    }

    @Test
    void aNewConfigurationMovesTheBulletinAndKeepsSessions() throws Exception {
        discovery.awaitRequest(TIMEOUT_MS);
        TestConnection viewer = connectViewer();
        establishSession(viewer, "free");
        ScriptedDiscovery other = closeAfterTest(new ScriptedDiscovery());
        node.reconfigure(createConfig(other.port(), firstServer.listEntry("SERVING")));
        assertEquals("1", other.awaitRequest(TIMEOUT_MS).lastEventId());
        assertEquals(1, node.sessionCount());
        establishSession(viewer, "free");
    }

    /**
     * The list calls a server gone after its end: what stood there is over, though a connection stays open.
     */
    @Test
    void whatTheListCallsGoneHasEnded() throws Exception {
        ScriptedDiscovery.StreamRequest asked = discovery.awaitRequest(TIMEOUT_MS);
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        Message answer = awaitAnswer(viewer, TIMEOUT_MS);
        ScriptedServer at = answer.text(Parameter.DESCRIPTION).startsWith("s-1") ? firstServer : secondServer;
        assertNotNull(got);
        asked.sendEvent(2, TestConfig.event(2, false, at.listEntry("DELETED")));
        Message end = viewer.awaitMessage(TIMEOUT_MS);
        assertEquals(id, end.session());
        assertEquals(41, end.cause());
    }

    /** Known at once by the refused connection, not only when the list tells. */
    @Test
    void aDeadServerIsKnownThoughOneConnectionStaysOpen() throws Exception {
        // Two set-ups at once, so that each of the servers that get two has two connections.
        List<ScriptedServer.ReceivedMessage> held = new java.util.concurrent.CopyOnWriteArrayList<>();
        onSetUpAtBoth((wire, message) -> held.add(new ScriptedServer.ReceivedMessage(wire, message)));
        TestConnection viewer = connectViewer();
        for (int i = 0; i < 8; i++) {
            sendSetUp(viewer, "paid");
        }
        for (int i = 0; i < 200 && held.size() < 8; i++) {
            awaitSetUpAtServers();
        }
        assertEquals(8, held.size());
        held.forEach(got -> firstServer.sendAnswer(got.connection(), got.message()));
        for (int i = 0; i < 8; i++) {
            awaitAnswer(viewer, TIMEOUT_MS);
        }
        ScriptedServer dying = firstServer.connectionCount() > 1 ? firstServer : secondServer;
        assertTrue(dying.connectionCount() > 1);
        dying.crashLeavingOneConnectionOpen();
        assertEquals(41, viewer.awaitMessage(1800).cause());
    }

    // ---- stop

    @Test
    void aStopAnswersWhatIsOwedFirst() throws Exception {
        onSetUpAtBoth((wire, message) -> {});
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        TestConnection late = connectViewer();
        onSetUpAtBoth((wire, message) -> firstServer.sendAnswer(wire, message));
        establishSession(late, "free");
        firstServer.sendAnswer(got.connection(), got.message());
        assertEquals(id, awaitAnswer(viewer, TIMEOUT_MS).session());
        assertTrue(done.await(5, TimeUnit.SECONDS));
        assertFalse(judge.violations(id).contains("no answer: " + id));
    }
}
