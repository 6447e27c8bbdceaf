package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** Servers whose answers are spoilt, late, doubled or missing. */
class HostileServersTest extends NodeBench {
    @Test
    void anUnreadableAnswerIsALossAndTheSessionGoesElsewhere() throws Exception {
        one.onSetUp((wire, message) -> wire.raw(new byte[] {0, 1, 9, 9, 9}));
        two.onSetUp((wire, message) -> wire.raw("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.UTF_8)));
        Wire viewer = viewer();
        long paid = ask(viewer, "paid");
        assertEquals(41, answer(viewer, SOON).cause(), "it may have run: failed, not refused");
        assertEquals(List.of(), judge.violations(paid));
        one.onSetUp(one::answer);
        two.onSetUp(two::answer);
    }

    @Test
    void aFreeSessionIsSentAgainAfterALoss() throws Exception {
        boolean[] lost = new boolean[1];
        both((wire, message) -> {
            if (!lost[0]) {
                lost[0] = true;
                wire.reset();
            } else {
                one.answer(wire, message);
            }
        });
        playing(viewer(), "free");
        assertTrue(lost[0]);
    }

    /** Full proves that it never ran, so a paid session goes on; so does a connection that is refused. */
    @Test
    void proofLetsAPaidSessionGoElsewhere() throws Exception {
        boolean[] full = new boolean[1];
        both((wire, message) -> {
            if (!full[0]) {
                full[0] = true;
                judge.nonExecutionProved(message.session());
                wire.send(new Message(MessageType.RELEASE, message.session())
                        .withCause(34)
                        .with(Parameter.LOAD_REPORT, "x0:1.3;x1:noise"));
            } else {
                one.answer(wire, message);
            }
        });
        playing(viewer(), "paid");
        one.close();
        for (int i = 0; i < 4; i++) {
            Wire viewer = viewer();
            ask(viewer, "paid");
            Message answer = answer(viewer, SOON);
            assertTrue(answer.type() == MessageType.ANSWER || answer.cause() == 42, "served by the other");
        }
    }

    @Test
    void copiesAndAnswersForOthersAreNotPassedOn() throws Exception {
        both((wire, message) -> {
            wire.send(new Message(MessageType.ANSWER, 424242).with(Parameter.DESCRIPTION, "ahead"));
            one.answer(wire, message);
            one.answer(wire, message);
            wire.send(new Message(MessageType.ANSWER, message.session()).with(Parameter.DESCRIPTION, "other"));
        });
        Wire viewer = viewer();
        for (int i = 0; i < 5; i++) {
            playing(viewer, "paid");
        }
        assertNull(viewer.next(100));
    }

    /** Late answers are usual: their number over the life of a connection ends nothing that is open on it. */
    @Test
    void unsolicitedAnswersEndNoConnectionUnderAnAttempt() throws Exception {
        both((wire, message) -> {});
        Wire viewer = viewer();
        long id = ask(viewer, "paid");
        ScriptedServer.Got open = atServer();
        for (int i = 1; i <= 80; i++) {
            open.wire().send(new Message(MessageType.ANSWER, 70_000 + i).with(Parameter.DESCRIPTION, "late"));
        }
        one.answer(open.wire(), open.message());
        Message answer = answer(viewer, SOON);
        assertEquals(id, answer.session());
        assertEquals(MessageType.ANSWER, answer.type());
    }

    @Test
    void aServerThatStaysSilentIsGivenUpAndTheAnswerComesInTime() throws Exception {
        both((wire, message) -> {});
        Wire viewer = viewer();
        long began = System.nanoTime();
        ask(viewer, "paid");
        Message answer = answer(viewer, SOON);
        assertEquals(41, answer.cause());
        assertTrue((System.nanoTime() - began) / 1_000_000 < 1600, "by the viewer's deadline");
    }

    /** Before the server's idle time, so that no paid set-up crosses the server's close. */
    @Test
    void idleConnectionsAreDroppedHere() throws Exception {
        Wire viewer = viewer();
        long id = ask(viewer, "free");
        ScriptedServer.Got got = atServer();
        answer(viewer, SOON);
        got.wire().send(new Message(MessageType.RELEASE, id).withCause(16));
        assertTrue(got.wire().endsWithin(2800), "servers here close after 3 s");
    }

    @Test
    void aServerThatFallsSilentIsTested() throws Exception {
        Wire viewer = viewer();
        ask(viewer, "free");
        ScriptedServer.Got got = atServer();
        ScriptedServer at = answer(viewer, SOON).text(Parameter.DESCRIPTION).startsWith("s-1") ? one : two;
        ScriptedServer.Got test = at.next(MessageType.TEST, 4000);
        assertNotNull(test, "no note for longer than two of them");
        test.wire().send(new Message(MessageType.TEST_RESULT, test.message().session()).withCause(1));
        assertNull(viewer.next(300), "it lives: its session stands");
        assertNotNull(got);
    }

    /** An answer that breaks off is a loss at the time-out, and the connection takes nothing new. */
    @Test
    void anAnswerThatStopsShortIsGivenUpAndItsConnectionClosed() throws Exception {
        List<Wire> spoilt = new java.util.concurrent.CopyOnWriteArrayList<>();
        both((wire, message) -> {
            if (spoilt.isEmpty()) {
                spoilt.add(wire);
                wire.raw(new byte[] {0, 40, 9, 0, 0, 0});
            } else if (!spoilt.contains(wire)) {
                one.answer(wire, message);
            }
        });
        Wire viewer = viewer();
        playing(viewer, "free");
        assertTrue(spoilt.get(0).endsWithin(SOON));
        playing(viewer, "free");
    }
}
