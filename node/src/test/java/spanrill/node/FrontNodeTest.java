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
class FrontNodeTest extends NodeBench {
    // ---- calm service

    @Test
    void aSessionIsSetUpPlaysAndIsReleased() throws Exception {
        Wire viewer = viewer();
        long id = ask(viewer, "paid");
        ScriptedServer.Got got = atServer();
        Message setUp = got.message();
        assertEquals("paid", setUp.text(Parameter.CLASS));
        assertEquals("7f3a9c21e0b4d655", setUp.text(Parameter.TITLE));
        assertArrayEquals("v=0".getBytes(StandardCharsets.UTF_8), setUp.get(Parameter.DESCRIPTION));
        assertTrue(Integer.parseInt(setUp.text(Parameter.WAIT)) <= 1500);
        assertTrue(Integer.parseInt(setUp.text(Parameter.RUNG)) >= 1, "never below the floor");
        Message answer = answer(viewer, SOON);
        assertEquals(MessageType.ANSWER, answer.type());
        assertTrue(answer.text(Parameter.DESCRIPTION).endsWith("/" + id));
        got.wire().send(new Message(MessageType.RELEASE, id).withCause(16));
        assertEquals(16, viewer.next(SOON).cause());
        assertEquals(0, node.sessionCount());
    }

    @Test
    void passesTheTestOfThePlatform() throws Exception {
        Wire platform = viewer();
        platform.send(new Message(MessageType.TEST, 5).withCause(0));
        Message result = platform.next(SOON);
        assertEquals(MessageType.TEST_RESULT, result.type());
        assertEquals(1, result.cause());
    }

    /** The wait of a session that plays already is no time; the session must not be refused for that. */
    @Test
    void sessionsOfAStartAreHeldAndReleasedOnAnyConnection() throws Exception {
        Wire viewer = viewer();
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
        playing(viewer, "free");
        assertEquals(3, node.sessionCount());
        one.close();
        for (int i = 0; i < 2; i++) {
            assertEquals(41, viewer.next(SOON).cause());
        }
    }

    @Test
    void aViewerEndsASessionFromAnotherConnection() throws Exception {
        Wire viewer = viewer();
        long id = playing(viewer, "free");
        viewer().send(new Message(MessageType.RELEASE, id).withCause(16));
        ScriptedServer.Got release = atServer(MessageType.RELEASE);
        assertEquals(id, release.message().session());
        Message end = viewer.next(SOON);
        assertEquals(id, end.session(), "a give-up may have crossed the answer: its end is told");
        assertEquals(16, end.cause());
    }

    @Test
    void theEndOfASessionReachesItsViewerOnAnotherConnection() throws Exception {
        Wire first = viewer();
        long id = ask(first, "free");
        ScriptedServer.Got got = atServer();
        answer(first, SOON);
        first.close();
        Wire second = viewer();
        playing(second, "free");
        got.wire().send(new Message(MessageType.RELEASE, id).withCause(16));
        Message end = second.next(SOON);
        assertEquals(id, end.session());
        assertEquals(16, end.cause());
    }

    /**
     * Guards against releases that are sent where no viewer listens: the platform's tests come on
     * connections of their own, and a connection may be ending. Seen on days with bad clients.
     */
    @Test
    void aReleaseThatNobodyHeardIsSentAgainAndNeverOnATestsConnection() throws Exception {
        Wire first = viewer();
        long id = ask(first, "free");
        ScriptedServer.Got got = atServer();
        answer(first, SOON);
        first.close();
        Wire platform = viewer();
        platform.send(new Message(MessageType.TEST, 1).withCause(0));
        platform.next(SOON);
        got.wire().send(new Message(MessageType.RELEASE, id).withCause(16));
        assertNull(platform.next(200), "a release on a connection for tests");
        Wire second = viewer();
        playing(second, "free");
        assertEquals(id, second.next(SOON).session());
        assertEquals(id, second.next(SOON).session(), "not heard: again");
        second.send(new Message(MessageType.RELEASE_ACKNOWLEDGED, id));
        Message more = second.next(600);
        assertTrue(more == null || second.next(600) == null, "heard: no further one but what crossed");
    }

    // ---- discovery

    @Test
    void followsTheBulletinOverBreaksCopiesAndCutOffEvents() throws Exception {
        ScriptedDiscovery.Asked first = discovery.next(SOON);
        assertEquals("/bulletins", first.path());
        assertEquals("1", first.lastId());
        first.tell(2, TestConfig.event(2, false, one.member("DRAINING")));
        first.tell(2, TestConfig.event(2, false, one.member("DRAINING")));
        first.write("id: 3\ndata: {\"no\":3,\"roster\":{\"revi");
        first.socket().close();
        ScriptedDiscovery.Asked second = discovery.next(SOON);
        assertEquals("2", second.lastId(), "the event that was cut off was not applied");
        // Of a wrong type: refused whole, and asked for again.
        second.tell(3, TestConfig.event(3, false, two.member("DRAINING")).replace("\"cell\":0", "\"cell\":\"x\""));
        ScriptedDiscovery.Asked third = discovery.next(SOON);
        assertEquals("2", third.lastId());
        Wire viewer = viewer();
        for (int i = 0; i < 5; i++) {
            playing(viewer, "free");
        }
        assertNull(one.next(MessageType.SET_UP, 50), "nothing new to a server that drains");
    }

    @Test
    void aGapLeadsToANewRequest() throws Exception {
        ScriptedDiscovery.Asked first = discovery.next(SOON);
        first.tell(7, TestConfig.event(7, false, one.member("DRAINING")));
        assertEquals("1", discovery.next(SOON).lastId());
    }

    @Test
    void aBulletinThatStopsIsAskedAgain() throws Exception {
        discovery.next(SOON);
        assertNotNull(discovery.next(3500), "silent for more than two comments");
    }

    @Test
    void aNewConfigurationMovesTheBulletinAndKeepsSessions() throws Exception {
        discovery.next(SOON);
        Wire viewer = viewer();
        playing(viewer, "free");
        ScriptedDiscovery other = keep(new ScriptedDiscovery());
        node.reconfigure(config(other.port(), one.member("SERVING")));
        assertEquals("1", other.next(SOON).lastId());
        assertEquals(1, node.sessionCount());
        playing(viewer, "free");
    }

    /**
     * The list calls a server gone after its end: what stood there is over, though a connection stays open.
     */
    @Test
    void whatTheListCallsGoneHasEnded() throws Exception {
        ScriptedDiscovery.Asked asked = discovery.next(SOON);
        Wire viewer = viewer();
        long id = ask(viewer, "free");
        ScriptedServer.Got got = atServer();
        Message answer = answer(viewer, SOON);
        ScriptedServer at = answer.text(Parameter.DESCRIPTION).startsWith("s-1") ? one : two;
        assertNotNull(got);
        asked.tell(2, TestConfig.event(2, false, at.member("DELETED")));
        Message end = viewer.next(SOON);
        assertEquals(id, end.session());
        assertEquals(41, end.cause());
    }

    /** Known at once by the refused connection, not only when the list tells. */
    @Test
    void aDeadServerIsKnownThoughOneConnectionStaysOpen() throws Exception {
        // Two set-ups at once, so that each of the servers that get two has two connections.
        List<ScriptedServer.Got> held = new java.util.concurrent.CopyOnWriteArrayList<>();
        both((wire, message) -> held.add(new ScriptedServer.Got(wire, message)));
        Wire viewer = viewer();
        for (int i = 0; i < 8; i++) {
            ask(viewer, "paid");
        }
        for (int i = 0; i < 200 && held.size() < 8; i++) {
            atServer();
        }
        assertEquals(8, held.size());
        held.forEach(got -> one.answer(got.wire(), got.message()));
        for (int i = 0; i < 8; i++) {
            answer(viewer, SOON);
        }
        ScriptedServer dying = one.connections() > 1 ? one : two;
        assertTrue(dying.connections() > 1);
        dying.dieLeavingOneOpen();
        assertEquals(41, viewer.next(1800).cause());
    }

    // ---- stop

    @Test
    void aStopAnswersWhatIsOwedFirst() throws Exception {
        both((wire, message) -> {});
        Wire viewer = viewer();
        long id = ask(viewer, "free");
        ScriptedServer.Got got = atServer();
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        Wire late = viewer();
        both((wire, message) -> one.answer(wire, message));
        playing(late, "free");
        one.answer(got.wire(), got.message());
        assertEquals(id, answer(viewer, SOON).session());
        assertTrue(done.await(5, TimeUnit.SECONDS));
        assertFalse(judge.violations(id).contains("no answer: " + id));
    }
}
