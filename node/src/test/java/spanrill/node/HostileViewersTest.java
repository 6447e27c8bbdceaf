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
class HostileViewersTest extends NodeBench {
    @Test
    void whatCanNotBeUsedIsReleasedAndNeverServed() throws Exception {
        Wire viewer = viewer();
        viewer.send(setUp(1, "gold", ""));
        assertEquals(100, viewer.next(SOON).cause());
        viewer.send(new Message(MessageType.SET_UP, 2));
        assertEquals(96, viewer.next(SOON).cause());
        viewer.send(setUp(3, "free", ";home:7"));
        assertEquals(100, viewer.next(SOON).cause());
        viewer.send(new Message(MessageType.SET_UP, 4)
                .with(Parameter.CLASS, "free")
                .with(Parameter.WAIT, "900")
                .with(Parameter.TITLE, "7f3a9c21e0b4d655")
                .with(Parameter.DESCRIPTION, "v=0")
                .with(Parameter.ATTRIBUTES, "home:9;copies:1;top:2;viewer:00000000b4d65521"));
        assertEquals(100, viewer.next(SOON).cause());
        playing(viewer, "free");
    }

    @Test
    void whatCanNotBeFramedAndSilenceAreClosed() throws Exception {
        Wire noise = viewer();
        Wire silent = viewer();
        Wire half = viewer();
        Wire endless = viewer();
        Wire withdrawing = viewer();
        noise.raw(new byte[] {0, 3, 1, 1, 1});
        half.raw(new byte[] {0, 40, 1, 0, 0});
        endless.raw(new byte[] {(byte) 0xff, (byte) 0xff, 1});
        for (int i = 0; i < 300; i++) {
            withdrawing.send(new Message(MessageType.RELEASE, 9000 + i).withCause(16));
        }
        for (Wire each : List.of(noise, endless, silent, half, withdrawing)) {
            assertTrue(each.endsWithin(SOON));
        }
        playing(viewer(), "free");
    }

    /**
     * Set-ups that can't be used, one after the other, end with the connection at once. Progress messages are
     * free by the protocol, so that no number of them ends it; but they are nothing useful either, and a
     * connection that brings nothing else is closed within the 3 s that are owed.
     */
    @Test
    void floodsOfWhatCanNotBeUsedAreClosed() throws Exception {
        Wire rejected = viewer();
        Wire unknown = viewer();
        for (int i = 1; i <= 200; i++) {
            rejected.send(setUp(5000 + i, "gold", ""));
            unknown.send(new Message(MessageType.PROGRESS, i));
        }
        assertEquals(100, rejected.next(SOON).cause());
        assertTrue(rejected.endsWithin(1000));
        assertTrue(unknown.endsWithin(SOON));
        playing(viewer(), "free");
    }

    @Test
    void hundredsAtOnceGetAnAnswerEach() throws Exception {
        Wire crowd = viewer();
        long[] owed = new long[300];
        for (int i = 0; i < owed.length; i++) {
            owed[i] = ask(crowd, i % 3 == 0 ? "paid" : "free");
        }
        for (int i = 0; i < owed.length; i++) {
            answer(crowd, SOON);
        }
        assertEquals(List.of(), judge.violations(owed));
        assertNull(crowd.next(50));
    }

    /** Each is given up at its server, none is answered, nothing of them is kept. */
    @Test
    void hundredsWithdrawnAtOnceLeaveNothing() throws Exception {
        both((wire, message) -> {});
        Wire crowd = viewer();
        long first = ids + 1;
        for (int i = 0; i < 300; i++) {
            ask(crowd, "free");
        }
        for (long id = first; id <= ids; id++) {
            crowd.send(new Message(MessageType.RELEASE, id).withCause(16));
        }
        crowd.send(new Message(MessageType.TEST, 1).withCause(0));
        Message after = crowd.next(SOON);
        for (; after.type() != MessageType.TEST_RESULT; after = crowd.next(SOON)) {
            // Turned away before it was withdrawn: an answer, not a second one.
            judge.receivedByViewer(after);
        }
        assertEquals(0, node.sessionCount());
        both(one::answer);
        playing(viewer(), "free");
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
        playing(viewer(), "free");
    }

    /** Its buffer fills after a long rest: the second for which it may read nothing begins then. */
    @Test
    void aSlowReaderKeepsItsAnswersAfterARest() throws Exception {
        byte[] description = new byte[15_000];
        both((wire, message) -> {
            judge.descriptionIssued(message.session(), description);
            wire.send(new Message(MessageType.ANSWER, message.session()).with(Parameter.DESCRIPTION, description));
        });
        Wire slow = keep(Wire.reading(node.address().getPort(), 4096));
        slow.send(new Message(MessageType.TEST, 1).withCause(0));
        assertNull(slow.next(1200));
        int asked = 0;
        for (int beyond = 0; beyond < 12 && asked < 600; asked++) {
            ask(slow, "free");
            assertNotNull(atServer());
            beyond += node.hasUnflushed() ? 1 : 0;
        }
        assertNull(slow.next(300), "more than one look at it");
        slow.read();
        assertEquals(MessageType.TEST_RESULT, slow.next(SOON).type());
        for (int i = 0; i < asked; i++) {
            assertEquals(MessageType.ANSWER, answer(slow, SOON).type());
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
        both((wire, message) -> {});
        Wire first = viewer();
        long id = ask(first, "free");
        ScriptedServer.Got got = atServer();
        Wire second = viewer();
        second.send(setUp(id, "free", ";again:1"));
        assertEquals(81, second.next(SOON).cause());
        one.answer(got.wire(), got.message());
        assertEquals(MessageType.ANSWER, answer(first, SOON).type());
        Wire third = viewer();
        long twice = ask(third, "free");
        ScriptedServer.Got once = atServer();
        third.send(setUp(twice, "free", ""));
        third.send(setUp(twice, "paid", ""));
        settle();
        one.answer(once.wire(), once.message());
        Message only = answer(third, SOON);
        assertEquals(twice, only.session());
        assertEquals(MessageType.ANSWER, only.type());
        both(one::answer);
        playing(third, "free");
        assertNull(third.next(50), "two under one number on one connection: one answer, to the first");
    }

    @Test
    void aCrowdThatSaysNothingTakesNoRoomFromViewers() throws Exception {
        for (int i = 0; i < 300; i++) {
            viewer();
        }
        Wire viewer = viewer();
        playing(viewer, "free");
    }

    /** Strangers who ask for a test and stay: the connection of a session that stands is not for them. */
    @Test
    void aCrowdThatAsksOnceAndStaysTakesNoConnectionWithASession() throws Exception {
        Wire viewer = viewer();
        long id = ask(viewer, "free");
        ScriptedServer.Got got = atServer();
        answer(viewer, SOON);
        for (int i = 0; i < 150; i++) {
            tested();
        }
        got.wire().send(new Message(MessageType.RELEASE, id).withCause(16));
        Message end = viewer.next(1000);
        assertNotNull(end, "told on its own connection, at once");
        assertEquals(id, end.session());
    }

    /** Room is full of those who have asked: who has had no time to ask yet is not the first to go. */
    @Test
    void aConnectionThatIsJustUpMakesNoRoomForOthers() throws Exception {
        for (int i = 0; i < 130; i++) {
            tested();
        }
        Wire viewer = viewer();
        for (int i = 0; i < 4; i++) {
            viewer();
        }
        settle();
        playing(viewer, "free");
    }

    private void tested() throws Exception {
        Wire stranger = viewer();
        stranger.send(new Message(MessageType.TEST, 1).withCause(0));
        assertEquals(MessageType.TEST_RESULT, stranger.next(SOON).type());
    }

    @Test
    void aViewerThatLeavesHasItsAttemptGivenUp() throws Exception {
        both((wire, message) -> {});
        Wire viewer = viewer();
        long id = ask(viewer, "paid");
        ScriptedServer.Got got = atServer();
        viewer.close();
        ScriptedServer.Got release = atServer(MessageType.RELEASE);
        assertEquals(id, release.message().session());
        assertEquals(16, release.message().cause());
        // A paid attempt that is answered all the same is nothing any more.
        got.wire().send(new Message(MessageType.ANSWER, id).with(Parameter.DESCRIPTION, "late"));
        both(one::answer);
        playing(viewer(), "free");
    }
}
