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

/** Viewers that are wrong, slow, silent or many. */
class HostileViewersTest extends FrontNodeTestBase {
    @Test
    void whatCanNotBeUsedIsReleasedAndNeverServed() throws Exception {
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
    void whatCanNotBeFramedAndSilenceAreClosed() throws Exception {
        TestConnection noise = connectViewer();
        TestConnection silent = connectViewer();
        TestConnection half = connectViewer();
        TestConnection endless = connectViewer();
        TestConnection withdrawing = connectViewer();
        noise.sendRaw(new byte[] {0, 3, 1, 1, 1});
        half.sendRaw(new byte[] {0, 40, 1, 0, 0});
        endless.sendRaw(new byte[] {(byte) 0xff, (byte) 0xff, 1});
        for (int i = 0; i < 300; i++) {
            withdrawing.send(new Message(MessageType.RELEASE, 9000 + i).withCause(16));
        }
        for (TestConnection each : List.of(noise, endless, silent, half, withdrawing)) {
            assertTrue(each.awaitEnd(TIMEOUT_MS));
        }
        establishSession(connectViewer(), "free");
    }

    /**
     * Set-ups that can't be used, one after the other, end with the connection at once. Progress messages are
     * free by the protocol, so that no number of them ends it; but they are nothing useful either, and a
     * connection that brings nothing else is closed within the 3 s that are owed.
     */
    @Test
    void floodsOfWhatCanNotBeUsedAreClosed() throws Exception {
        TestConnection rejected = connectViewer();
        TestConnection unknown = connectViewer();
        for (int i = 1; i <= 200; i++) {
            rejected.send(setUpMessage(5000 + i, "gold", ""));
            unknown.send(new Message(MessageType.PROGRESS, i));
        }
        assertEquals(100, rejected.awaitMessage(TIMEOUT_MS).cause());
        assertTrue(rejected.awaitEnd(1000));
        assertTrue(unknown.awaitEnd(TIMEOUT_MS));
        establishSession(connectViewer(), "free");
    }

    @Test
    void hundredsAtOnceGetAnAnswerEach() throws Exception {
        TestConnection crowd = connectViewer();
        long[] owed = new long[300];
        for (int i = 0; i < owed.length; i++) {
            owed[i] = sendSetUp(crowd, i % 3 == 0 ? "paid" : "free");
        }
        for (int i = 0; i < owed.length; i++) {
            awaitAnswer(crowd, TIMEOUT_MS);
        }
        assertEquals(List.of(), judge.violations(owed));
        assertNull(crowd.awaitMessage(50));
    }

    /** Each is given up at its server, none is answered, nothing of them is kept. */
    @Test
    void hundredsWithdrawnAtOnceLeaveNothing() throws Exception {
        onSetUpAtBoth((wire, message) -> {});
        TestConnection crowd = connectViewer();
        long first = lastSessionId + 1;
        for (int i = 0; i < 300; i++) {
            sendSetUp(crowd, "free");
        }
        for (long id = first; id <= lastSessionId; id++) {
            crowd.send(new Message(MessageType.RELEASE, id).withCause(16));
        }
        crowd.send(new Message(MessageType.TEST, 1).withCause(0));
        Message after = crowd.awaitMessage(TIMEOUT_MS);
        for (; after.type() != MessageType.TEST_RESULT; after = crowd.awaitMessage(TIMEOUT_MS)) {
            // Turned away before it was withdrawn: an answer, not a second one.
            judge.receivedByViewer(after);
        }
        assertEquals(0, node.sessionCount());
        onSetUpAtBoth(firstServer::sendAnswer);
        establishSession(connectViewer(), "free");
    }

    /** What a peer does not read must not pile up here. */
    @Test
    void aPeerThatReadsNothingIsClosed() throws Exception {
        try (Socket slow = new Socket()) {
            slow.setReceiveBufferSize(4096);
            slow.connect(node.address());
            ByteBuf tests = Unpooled.buffer();
            for (int i = 0; i < 1000; i++) {
                new Message(MessageType.TEST, i).withCause(0).write(tests);
            }
            byte[] part = ByteBufUtil.getBytes(tests);
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 5000; i++) {
                    slow.getOutputStream().write(part);
                }
            });
        }
        establishSession(connectViewer(), "free");
    }

    /** Its buffer fills after a long rest: the second for which it may read nothing begins then. */
    @Test
    void aSlowReaderKeepsItsAnswersAfterARest() throws Exception {
        byte[] description = new byte[15_000];
        onSetUpAtBoth((wire, message) -> {
            judge.descriptionIssued(message.session(), description);
            wire.send(new Message(MessageType.ANSWER, message.session()).with(Parameter.DESCRIPTION, description));
        });
        TestConnection slow = closeAfterTest(
                TestConnection.connectWithoutReading(node.address().getPort(), 4096));
        slow.send(new Message(MessageType.TEST, 1).withCause(0));
        assertNull(slow.awaitMessage(1200));
        int asked = 0;
        for (int beyond = 0; beyond < 12 && asked < 600; asked++) {
            sendSetUp(slow, "free");
            assertNotNull(awaitSetUpAtServers());
            beyond += node.hasUnflushed() ? 1 : 0;
        }
        assertNull(slow.awaitMessage(300), "more than one look at it");
        slow.startReading();
        assertEquals(MessageType.TEST_RESULT, slow.awaitMessage(TIMEOUT_MS).type());
        for (int i = 0; i < asked; i++) {
            assertEquals(MessageType.ANSWER, awaitAnswer(slow, TIMEOUT_MS).type());
        }
    }

    /** 60 MB that keep coming, framed or not, end with the connection long before they are read. */
    @Test
    void endlessBytesAreClosed() throws Exception {
        byte[] noise = new byte[64 * 1024];
        ByteBuf junk = Unpooled.buffer();
        while (junk.readableBytes() < noise.length) {
            new Message(MessageType.NOTE, 1).with(200, new byte[4000]).write(junk);
        }
        for (byte[] part : List.of(noise, ByteBufUtil.getBytes(junk))) {
            try (Socket endless = new Socket("127.0.0.1", node.address().getPort())) {
                assertThrows(IOException.class, () -> {
                    for (int i = 0; i < 1000; i++) {
                        endless.getOutputStream().write(part);
                    }
                });
            }
        }
    }

    @Test
    void anOpenNumberUsedAgainDoesNotDisturbTheFirst() throws Exception {
        onSetUpAtBoth((wire, message) -> {});
        TestConnection first = connectViewer();
        long id = sendSetUp(first, "free");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        TestConnection second = connectViewer();
        second.send(setUpMessage(id, "free", ";again:1"));
        assertEquals(81, second.awaitMessage(TIMEOUT_MS).cause());
        firstServer.sendAnswer(got.connection(), got.message());
        assertEquals(MessageType.ANSWER, awaitAnswer(first, TIMEOUT_MS).type());
        TestConnection third = connectViewer();
        long twice = sendSetUp(third, "free");
        ScriptedServer.ReceivedMessage once = awaitSetUpAtServers();
        third.send(setUpMessage(twice, "free", ""));
        third.send(setUpMessage(twice, "paid", ""));
        awaitLoopIterations();
        firstServer.sendAnswer(once.connection(), once.message());
        Message only = awaitAnswer(third, TIMEOUT_MS);
        assertEquals(twice, only.session());
        assertEquals(MessageType.ANSWER, only.type());
        onSetUpAtBoth(firstServer::sendAnswer);
        establishSession(third, "free");
        assertNull(third.awaitMessage(50), "two under one number on one connection: one answer, to the first");
    }

    @Test
    void aCrowdThatSaysNothingTakesNoRoomFromViewers() throws Exception {
        for (int i = 0; i < 300; i++) {
            connectViewer();
        }
        TestConnection viewer = connectViewer();
        establishSession(viewer, "free");
    }

    /** Strangers who ask for a test and stay: the connection of a session that stands is not for them. */
    @Test
    void aCrowdThatAsksOnceAndStaysTakesNoConnectionWithASession() throws Exception {
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        awaitAnswer(viewer, TIMEOUT_MS);
        for (int i = 0; i < 150; i++) {
            tested();
        }
        got.connection().send(new Message(MessageType.RELEASE, id).withCause(16));
        Message end = viewer.awaitMessage(1000);
        assertNotNull(end, "told on its own connection, at once");
        assertEquals(id, end.session());
    }

    /** Room is full of those who have asked: who has had no time to ask yet is not the first to go. */
    @Test
    void aConnectionThatIsJustUpMakesNoRoomForOthers() throws Exception {
        for (int i = 0; i < 130; i++) {
            tested();
        }
        TestConnection viewer = connectViewer();
        for (int i = 0; i < 4; i++) {
            connectViewer();
        }
        awaitLoopIterations();
        establishSession(viewer, "free");
    }

    private void tested() throws Exception {
        TestConnection stranger = connectViewer();
        stranger.send(new Message(MessageType.TEST, 1).withCause(0));
        assertEquals(MessageType.TEST_RESULT, stranger.awaitMessage(TIMEOUT_MS).type());
    }

    @Test
    void aViewerThatLeavesHasItsAttemptGivenUp() throws Exception {
        onSetUpAtBoth((wire, message) -> {});
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "paid");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        viewer.close();
        ScriptedServer.ReceivedMessage release = awaitAtServers(MessageType.RELEASE);
        assertEquals(id, release.message().session());
        assertEquals(16, release.message().cause());
        // A paid attempt that is answered all the same is nothing any more.
        got.connection().send(new Message(MessageType.ANSWER, id).with(Parameter.DESCRIPTION, "late"));
        onSetUpAtBoth(firstServer::sendAnswer);
        establishSession(connectViewer(), "free");
    }
}
