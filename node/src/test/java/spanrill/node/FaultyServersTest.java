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
class FaultyServersTest extends FrontNodeTestBase {
    @Test
    void anUnreadableAnswerIsALossAndTheSessionGoesElsewhere() throws Exception {
        firstServer.onSetUp((wire, message) -> wire.sendRaw(new byte[] {0, 1, 9, 9, 9}));
        secondServer.onSetUp(
                (wire, message) -> wire.sendRaw("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.UTF_8)));
        TestConnection viewer = connectViewer();
        long paid = sendSetUp(viewer, "paid");
        assertEquals(41, awaitAnswer(viewer, TIMEOUT_MS).cause(), "it may have run: failed, not refused");
        assertEquals(List.of(), judge.violations(paid));
        firstServer.onSetUp(firstServer::sendAnswer);
        secondServer.onSetUp(secondServer::sendAnswer);
    }

    @Test
    void aFreeSessionIsSentAgainAfterALoss() throws Exception {
        boolean[] lost = new boolean[1];
        onSetUpAtBoth((wire, message) -> {
            if (!lost[0]) {
                lost[0] = true;
                wire.reset();
            } else {
                firstServer.sendAnswer(wire, message);
            }
        });
        establishSession(connectViewer(), "free");
        assertTrue(lost[0]);
    }

    /** Full proves that it never ran, so a paid session goes on; so does a connection that is refused. */
    @Test
    void proofLetsAPaidSessionGoElsewhere() throws Exception {
        boolean[] full = new boolean[1];
        onSetUpAtBoth((wire, message) -> {
            if (!full[0]) {
                full[0] = true;
                judge.nonExecutionProved(message.session());
                wire.send(new Message(MessageType.RELEASE, message.session())
                        .withCause(34)
                        .with(Parameter.LOAD_REPORT, "x0:1.3;x1:noise"));
            } else {
                firstServer.sendAnswer(wire, message);
            }
        });
        establishSession(connectViewer(), "paid");
        firstServer.close();
        for (int i = 0; i < 4; i++) {
            TestConnection viewer = connectViewer();
            sendSetUp(viewer, "paid");
            Message answer = awaitAnswer(viewer, TIMEOUT_MS);
            assertTrue(answer.type() == MessageType.ANSWER || answer.cause() == 42, "served by the other");
        }
    }

    @Test
    void copiesAndAnswersForOthersAreNotPassedOn() throws Exception {
        onSetUpAtBoth((wire, message) -> {
            wire.send(new Message(MessageType.ANSWER, 424242).with(Parameter.DESCRIPTION, "ahead"));
            firstServer.sendAnswer(wire, message);
            firstServer.sendAnswer(wire, message);
            wire.send(new Message(MessageType.ANSWER, message.session()).with(Parameter.DESCRIPTION, "other"));
        });
        TestConnection viewer = connectViewer();
        for (int i = 0; i < 5; i++) {
            establishSession(viewer, "paid");
        }
        assertNull(viewer.awaitMessage(100));
    }

    /** Late answers are usual: their number over the life of a connection ends nothing that is open on it. */
    @Test
    void unsolicitedAnswersEndNoConnectionUnderAnAttempt() throws Exception {
        onSetUpAtBoth((wire, message) -> {});
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "paid");
        ScriptedServer.ReceivedMessage open = awaitSetUpAtServers();
        for (int i = 1; i <= 80; i++) {
            open.connection().send(new Message(MessageType.ANSWER, 70_000 + i).with(Parameter.DESCRIPTION, "late"));
        }
        firstServer.sendAnswer(open.connection(), open.message());
        Message answer = awaitAnswer(viewer, TIMEOUT_MS);
        assertEquals(id, answer.session());
        assertEquals(MessageType.ANSWER, answer.type());
    }

    @Test
    void aServerThatStaysSilentIsGivenUpAndTheAnswerComesInTime() throws Exception {
        onSetUpAtBoth((wire, message) -> {});
        TestConnection viewer = connectViewer();
        long began = System.nanoTime();
        sendSetUp(viewer, "paid");
        Message answer = awaitAnswer(viewer, TIMEOUT_MS);
        assertEquals(41, answer.cause());
        assertTrue((System.nanoTime() - began) / 1_000_000 < 1600, "by the viewer's deadline");
    }

    /** Before the server's idle time, so that no paid set-up crosses the server's close. */
    @Test
    void idleConnectionsAreDroppedHere() throws Exception {
        TestConnection viewer = connectViewer();
        long id = sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        awaitAnswer(viewer, TIMEOUT_MS);
        got.connection().send(new Message(MessageType.RELEASE, id).withCause(16));
        assertTrue(got.connection().awaitEnd(2800), "servers here close after 3 s");
    }

    @Test
    void aServerThatFallsSilentIsTested() throws Exception {
        TestConnection viewer = connectViewer();
        sendSetUp(viewer, "free");
        ScriptedServer.ReceivedMessage got = awaitSetUpAtServers();
        ScriptedServer at =
                awaitAnswer(viewer, TIMEOUT_MS).text(Parameter.DESCRIPTION).startsWith("s-1")
                        ? firstServer
                        : secondServer;
        ScriptedServer.ReceivedMessage test = at.awaitMessage(MessageType.TEST, 4000);
        assertNotNull(test, "no note for longer than two of them");
        test.connection()
                .send(new Message(MessageType.TEST_RESULT, test.message().session()).withCause(1));
        assertNull(viewer.awaitMessage(300), "it lives: its session stands");
        assertNotNull(got);
    }

    /** An answer that breaks off is a loss at the time-out, and the connection takes nothing new. */
    @Test
    void anAnswerThatStopsShortIsGivenUpAndItsConnectionClosed() throws Exception {
        List<TestConnection> spoilt = new java.util.concurrent.CopyOnWriteArrayList<>();
        onSetUpAtBoth((wire, message) -> {
            if (spoilt.isEmpty()) {
                spoilt.add(wire);
                wire.sendRaw(new byte[] {0, 40, 9, 0, 0, 0});
            } else if (!spoilt.contains(wire)) {
                firstServer.sendAnswer(wire, message);
            }
        });
        TestConnection viewer = connectViewer();
        establishSession(viewer, "free");
        assertTrue(spoilt.get(0).awaitEnd(TIMEOUT_MS));
        establishSession(viewer, "free");
    }
}
