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
class CrossingsTest extends NodeBench {
    private static final long NOTHING_MS = 250;

    /** Long enough for a connection that comes up late to do so. */
    @Override
    String adjust(String json) {
        return json.replace("\"connect_timeout\":300.0", "\"connect_timeout\":2500.0");
    }

    /** Both servers have connections that are open and free. */
    private void connectBoth() throws Exception {
        List<ScriptedServer.Got> held = new CopyOnWriteArrayList<>();
        both((wire, message) -> held.add(new ScriptedServer.Got(wire, message)));
        Wire viewer = viewer();
        for (int i = 0; i < 8; i++) {
            ask(viewer, "paid");
        }
        for (int i = 0; i < 8; i++) {
            assertNotNull(atServer());
        }
        for (ScriptedServer.Got got : held) {
            one.answer(got.wire(), got.message());
        }
        for (int i = 0; i < 8; i++) {
            answer(viewer, SOON);
        }
        both(one::answer);
    }

    private Message nextAt(ScriptedServer server, MessageType type) throws InterruptedException {
        ScriptedServer.Got got = server.next(type, NOTHING_MS);
        return got == null ? null : got.message();
    }

    private void noSetUpArrives() throws InterruptedException {
        assertNull(nextAt(one, MessageType.SET_UP));
        assertNull(nextAt(two, MessageType.SET_UP));
    }

    // ---- clients that have gone

    @Test
    void aCloseUnreadBehindItsSetUpLeavesNoAttempt() throws Exception {
        connectBoth();
        Wire viewer = viewer();
        whileHeld(() -> {
            ask(viewer, "free");
            viewer.close();
        });
        noSetUpArrives();
    }

    @Test
    void aCancelUnreadBehindItsSetUpLeavesNoAttempt() throws Exception {
        connectBoth();
        Wire viewer = viewer();
        whileHeld(() -> {
            long id = ask(viewer, "free");
            viewer.send(new Message(MessageType.RELEASE, id).withCause(16));
        });
        noSetUpArrives();
    }

    /** A server's proof lies unread in front of the close: the further attempt would be for nobody. */
    @Test
    void aCloseUnreadBehindAProofLeavesNoFurtherAttempt() throws Exception {
        connectBoth();
        both((wire, message) -> {});
        Wire viewer = viewer();
        long id = ask(viewer, "free");
        ScriptedServer.Got got = atServer();
        whileHeld(() -> {
            judge.nonExecutionProved(id);
            got.wire().send(new Message(MessageType.RELEASE, id).withCause(34));
            viewer.close();
        });
        noSetUpArrives();
    }

    /** On two connections the cancel may be read first. */
    @Test
    void aCancelReadBeforeItsSetUpLeavesNoAttempt() throws Exception {
        Wire first = viewer();
        Wire second = viewer();
        long id = ids + 1;
        second.send(new Message(MessageType.RELEASE, id).withCause(16));
        second.send(new Message(MessageType.TEST, 1).withCause(0));
        assertEquals(MessageType.TEST_RESULT, second.next(SOON).type(), "the release was read");
        ask(first, "free");
        noSetUpArrives();
        assertEquals(41, first.next(SOON).cause());
        playing(first, "free");
    }

    /** After a start: its viewer ended it while nobody held it. */
    @Test
    void aReleaseReadBeforeTheSessionIsTakenOverReachesItsServer() throws Exception {
        Wire viewer = viewer();
        viewer.send(new Message(MessageType.RELEASE, 7).withCause(16));
        judge.requestSent(7, "free");
        viewer.send(setUp(7, "free", ";at:s-1"));
        Message release = nextAt(one, MessageType.RELEASE);
        assertNotNull(release);
        assertEquals(7, release.session());
        assertEquals(0, node.sessionCount());
    }

    /** The connection that asked must not keep the number: it would count as waited on for good. */
    @Test
    void aCancelOnAnotherConnectionFreesItsOwn() throws Exception {
        both((wire, message) -> {});
        Wire first = viewer();
        long id = ask(first, "free");
        assertNotNull(atServer());
        Wire second = viewer();
        second.send(new Message(MessageType.RELEASE, id).withCause(16));
        assertNotNull(atServer(MessageType.RELEASE));
        // More than there is room for: the oldest on which nobody waits makes place.
        for (int i = 0; i < 130; i++) {
            Wire next = viewer();
            next.send(new Message(MessageType.TEST, 1).withCause(0));
            assertEquals(MessageType.TEST_RESULT, next.next(SOON).type());
        }
        assertTrue(first.endsWithin(SOON));
    }

    /** Two tasks are held one after the other, so that the look falls due behind bytes that nobody read. */
    @Test
    void aSetUpUnreadWhenItsConnectionSeemsIdleIsServed() throws Exception {
        Wire viewer = viewer();
        Held first = new Held();
        Held second = new Held();
        node.eventLoop().execute(first);
        first.awaitBegin();
        node.eventLoop().execute(second);
        // By then a look at idle connections is due, and comes behind the second task.
        CountDownLatch later = new CountDownLatch(1);
        assertFalse(later.await(1600, TimeUnit.MILLISECONDS));
        first.over();
        second.awaitBegin();
        long id = ask(viewer, "free");
        second.over();
        assertEquals(id, answer(viewer, SOON).session());
    }

    // ---- connections to servers

    /** A close of the server's that lies unread behind a paid set-up: the set-up goes on another. */
    @Test
    void aPaidSetUpIsNotWrittenToAConnectionThatItsServerHasClosed() throws Exception {
        connectBoth();
        Wire viewer = viewer();
        whileHeld(() -> {
            ask(viewer, "paid");
            one.closeConnections();
            two.closeConnections();
        });
        // The sessions that stood lost nothing: their connections were closed in order.
        assertEquals(MessageType.ANSWER, answer(viewer, SOON).type());
    }

    /**
     * A drain that is read behind requests: attempts that were about to leave go elsewhere, and those made while
     * the others are being sent are sent too.
     */
    @Test
    void attemptsMadeWhileOthersAreBeingSentLeaveToo() throws Exception {
        connectBoth();
        ScriptedDiscovery.Asked asked = discovery.next(SOON);
        Wire viewer = viewer();
        whileHeld(() -> {
            for (int i = 0; i < 12; i++) {
                ask(viewer, "paid");
            }
            asked.tell(2, TestConfig.event(2, false, one.member("DRAINING")));
        });
        for (int i = 0; i < 12; i++) {
            assertEquals(MessageType.ANSWER, answer(viewer, SOON).type());
        }
        assertNull(nextAt(one, MessageType.SET_UP), "nothing new to the server that drains");
    }

    /** The connection comes up 1 s late, when the server may get nothing new any more. */
    @Test
    void whatWaitsForAConnectionIsTakenBackWhenItsServerDrains() throws Exception {
        LateServer late = keep(new LateServer());
        ScriptedDiscovery.Asked asked = discovery.next(SOON);
        asked.tell(
                2,
                TestConfig.event(
                        2,
                        false,
                        one.member("DRAINING"),
                        two.member("DRAINING"),
                        TestConfig.member("s-3", late.port(), "SERVING")));
        Wire viewer = viewer();
        settle();
        long id = ask(viewer, "paid");
        settle();
        asked.tell(
                3,
                TestConfig.event(3, false, TestConfig.member("s-3", late.port(), "DRAINING"), one.member("SERVING")));
        late.open();
        Message answer = answer(viewer, SOON);
        assertEquals(id, answer.session());
        assertEquals(MessageType.ANSWER, answer.type(), "by the other, at once");
        assertNull(late.got.poll(1500, TimeUnit.MILLISECONDS), "nothing new to a server that drains");
    }

    /** A connection given up here while it comes up is no refusal: the server lives. */
    @Test
    void aConnectionGivenUpWhileItComesUpEndsNoSession() throws Exception {
        LateServer late = keep(new LateServer());
        ScriptedDiscovery.Asked asked = discovery.next(SOON);
        asked.tell(2, TestConfig.event(2, false, TestConfig.member("s-3", late.port(), "SERVING")));
        Wire viewer = viewer();
        settle();
        judge.requestSent(7, "free");
        viewer.send(setUp(7, "free", ";at:s-3"));
        settle();
        asked.tell(3, TestConfig.event(3, false, two.member("SERVING").replace("s-2", "s-3")));
        assertNull(viewer.next(400), "it moved to another address and stands");
        assertEquals(1, node.sessionCount());
    }

    /** The request has run, its answer can't be read: what may stand there is released. */
    @Test
    void aSessionWhoseAnswerWasLostIsReleasedAtItsServer() throws Exception {
        connectBoth();
        List<String> at = new CopyOnWriteArrayList<>();
        List<Long> lost = new CopyOnWriteArrayList<>();
        one.onSetUp((wire, message) -> spoil(wire, message, "s-1", at, lost));
        two.onSetUp((wire, message) -> spoil(wire, message, "s-2", at, lost));
        Wire viewer = viewer();
        long id = ask(viewer, "paid");
        assertEquals(41, answer(viewer, SOON).cause());
        assertEquals(List.of(id), lost);
        Message release = nextAt(at.get(0).equals("s-1") ? one : two, MessageType.RELEASE);
        assertNotNull(release);
        assertEquals(id, release.session());
    }

    /** The connection is reset under a release: the session would stand at its server for good. */
    @Test
    void aReleaseThatIsLostWithItsConnectionIsSaidAgain() throws Exception {
        Wire viewer = viewer();
        long id = playing(viewer, "free");
        assertNotNull(atServer());
        viewer.send(new Message(MessageType.RELEASE, id).withCause(16));
        ScriptedServer.Got lost = atServer(MessageType.RELEASE);
        assertEquals(id, lost.message().session());
        lost.wire().reset();
        ScriptedServer.Got again = atServer(MessageType.RELEASE);
        assertNotNull(again);
        assertEquals(id, again.message().session());
        again.wire().send(new Message(MessageType.RELEASE, id).withCause(31));
        settle();
        again.wire().reset();
        assertNull(atServer(MessageType.RELEASE), "its server has spoken of it");
    }

    private static void spoil(Wire wire, Message message, String at, List<String> where, List<Long> lost) {
        where.add(at);
        lost.add(message.session());
        wire.raw(new byte[] {0, 1, 9, 9, 9});
    }

    /** The node ends a connection that it needs no more; the server's word on a session is on its way. */
    @Test
    void aReleaseThatCrossesTheEndOfItsConnectionIsHeard() throws Exception {
        Wire viewer = viewer();
        long id = ask(viewer, "free");
        ScriptedServer.Got got = atServer();
        answer(viewer, SOON);
        got.wire().beforeClose(() -> got.wire().send(new Message(MessageType.RELEASE, id).withCause(16)));
        ScriptedServer newOne = keep(new ScriptedServer("s-1", judge));
        ScriptedServer newTwo = keep(new ScriptedServer("s-2", judge));
        discovery.next(SOON).tell(2, TestConfig.event(2, false, newOne.member("SERVING"), newTwo.member("SERVING")));
        Message end = viewer.next(1000);
        assertNotNull(end, "the release was read though this side had ended the connection");
        assertEquals(id, end.session());
        assertEquals(16, end.cause());
    }

    // ---- the list

    /** What refuses to tell may go on talking: none of it is the list. */
    @Test
    void whatFollowsARefusalOfTheBulletinIsNotTaken() throws Exception {
        discovery.next(SOON);
        ScriptedDiscovery refusing = keep(new ScriptedDiscovery(
                "503 Service Unavailable",
                "id: 2\ndata: " + TestConfig.event(2, false, one.member("DELETED"), two.member("DELETED")) + "\n\n"));
        node.reconfigure(config(refusing.port(), one.member("SERVING")));
        assertEquals("1", refusing.next(SOON).lastId());
        assertEquals("1", refusing.next(SOON).lastId(), "asked again, after the last event that was told");
        playing(viewer(), "free");
    }

    /** The address moves on while the connection to it is still coming up; then it comes up. */
    @Test
    void aBulletinThatComesUpAfterTheMoveIsNotAsked() throws Exception {
        discovery.next(SOON);
        ScriptedDiscovery old = keep(new ScriptedDiscovery());
        ScriptedDiscovery fresh = keep(new ScriptedDiscovery());
        whileHeld(() -> {
            node.reconfigure(config(old.port(), one.member("SERVING")));
            node.reconfigure(config(fresh.port(), one.member("SERVING")));
        });
        assertNotNull(fresh.next(SOON));
        assertNull(old.next(NOTHING_MS));
    }

    /** What was told since the configuration was written counts: it is asked for before viewers come. */
    @Test
    void aStartAsksForTheListBeforeItServes() throws Exception {
        ScriptedDiscovery own = keep(new ScriptedDiscovery());
        NodeConfig config = config(own.port(), one.member("SERVING"), two.member("SERVING"));
        node.close();
        node = FrontNode.start(config, EventSink.none(), EventSink.none(), () -> {
            try {
                own.next(SOON).tell(2, TestConfig.event(2, false, one.member("DRAINING")));
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
            NodeConfig config = config(own.getLocalPort(), one.member("SERVING"), two.member("SERVING"));
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
            assertTrue(Wire.refused(config.listen().getPort()));
            asked.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: " + TestConfig.event(2, false, one.member("DRAINING"))
                                    + "\n\n")
                            .getBytes(StandardCharsets.UTF_8));
            node = starting.get(SOON, TimeUnit.MILLISECONDS);
            nothingGoesToOne();
            asked.close();
        }
    }

    private void nothingGoesToOne() throws Exception {
        Wire viewer = viewer();
        for (int i = 0; i < 5; i++) {
            playing(viewer, "free");
        }
        assertNull(nextAt(one, MessageType.SET_UP));
    }

    // ---- the stop

    /** Its answers are in this process's buffers: their reader is slow. */
    @Test
    void aStopWaitsUntilItsAnswersHaveGoneOut() throws Exception {
        both((wire, message) -> big(wire, message));
        Wire slow = keep(Wire.reading(node.address().getPort(), 4096));
        List<Long> asked = new ArrayList<>();
        for (int i = 0; i < 400 && !node.hasUnflushed(); i++) {
            asked.add(ask(slow, "free"));
            assertNotNull(atServer());
        }
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        assertFalse(done.await(1500, TimeUnit.MILLISECONDS));
        slow.read();
        assertTrue(done.await(1, TimeUnit.SECONDS));
        // Two servers answer on connections of their own: in no order, each once.
        List<Long> answered = new ArrayList<>();
        for (int i = 0; i < asked.size(); i++) {
            answered.add(answer(slow, SOON).session());
        }
        Collections.sort(answered);
        assertEquals(asked, answered);
    }

    private void big(Wire wire, Message message) {
        byte[] description = new byte[15_000];
        judge.descriptionIssued(message.session(), description);
        wire.send(new Message(MessageType.ANSWER, message.session()).with(Parameter.DESCRIPTION, description));
    }

    /** Its viewer would hear of the end from nobody. */
    @Test
    void aStopWaitsUntilAReleaseIsHeard() throws Exception {
        Wire viewer = viewer();
        long id = ask(viewer, "free");
        ScriptedServer.Got got = atServer();
        answer(viewer, SOON);
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        assertFalse(done.await(600, TimeUnit.MILLISECONDS));
        got.wire().send(new Message(MessageType.RELEASE, id).withCause(16));
        assertEquals(id, viewer.next(SOON).session());
        assertFalse(done.await(600, TimeUnit.MILLISECONDS));
        viewer.send(new Message(MessageType.RELEASE_ACKNOWLEDGED, id));
        assertTrue(done.await(500, TimeUnit.MILLISECONDS));
    }

    /** A paid session at a silent server has its whole deadline, and its answer before the kill. */
    @Test
    void aStopAnswersWhatNoServerAnswersBeforeTheKill() throws Exception {
        both((wire, message) -> {});
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        Wire viewer = viewer();
        long id = ++ids;
        judge.requestSent(id, "paid");
        Message patient = new Message(MessageType.SET_UP, id)
                .with(Parameter.CLASS, "paid")
                .with(Parameter.WAIT, "8000")
                .with(Parameter.TITLE, "7f3a9c21e0b4d655")
                .with(Parameter.ATTRIBUTES, "home:0;copies:1;top:2;viewer:00000000b4d65521")
                .with(Parameter.DESCRIPTION, "v=0");
        viewer.send(patient);
        assertTrue(done.await(3700, TimeUnit.MILLISECONDS));
        assertEquals(id, answer(viewer, 1000).session());
    }

    /** A connection that comes when nothing more is served is refused, not accepted and cut. */
    @Test
    void aStopRefusesConnectionsOnceItServesNoMore() throws Exception {
        both((wire, message) -> {});
        Wire viewer = viewer();
        ask(viewer, "paid");
        assertNotNull(atServer());
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        boolean refused = false;
        for (int i = 0; i < 60 && !refused; i++) {
            refused = done.await(20, TimeUnit.MILLISECONDS)
                    || Wire.refused(node.address().getPort());
        }
        assertTrue(refused);
        assertEquals(1, done.getCount(), "an answer is still owed");
        answer(viewer, SOON);
    }
}
