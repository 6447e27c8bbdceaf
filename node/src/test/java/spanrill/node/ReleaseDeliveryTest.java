package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;

/**
 * Tests that the release of an established session reaches its viewers when the connection of the session has ended:
 * on any connection on which viewers have asked for something, whatever the answer was.
 */
class ReleaseDeliveryTest extends FrontNodeTestBase {
    /** The protocol allows 1 s from the release by the server to the release to the viewer. */
    private static final long RELEASE_LIMIT_MS = 1000;

    private static final int CAUSE_FULL = 34;
    private static final int CAUSE_NORMAL = 16;

    private ScriptedServer.ReceivedMessage setUpAtServer;

    /** Establishes a session and resets its connection; returns the id of the session. */
    private long establishSessionAndResetItsConnection() throws Exception {
        TestConnection first = connectViewer();
        long id = sendSetUp(first, "free");
        setUpAtServer = awaitSetUpAtServers();
        awaitAnswer(first, TIMEOUT_MS);
        first.reset();
        awaitLoopIterations();
        return id;
    }

    private void refuseSetUps() {
        onSetUpAtBoth((connection, message) -> {
            judge.nonExecutionProved(message.session());
            connection.send(new Message(MessageType.RELEASE, message.session()).withCause(CAUSE_FULL));
        });
    }

    private void sendRefusedSetUp(TestConnection viewer) throws Exception {
        refuseSetUps();
        long id = sendSetUp(viewer, "free");
        Message refusal = awaitRelease(viewer, id, TIMEOUT_MS);
        assertNotNull(refusal, "the set-up is refused");
        judge.receivedByViewer(refusal);
    }

    private void endSessionAtServer(long id) {
        setUpAtServer.connection().send(new Message(MessageType.RELEASE, id).withCause(CAUSE_NORMAL));
    }

    /** The next release of a session, or null when none arrives in time; other messages are dropped. */
    private static Message awaitRelease(TestConnection viewer, long id, long ms) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + ms * 1_000_000;
        for (long remainingMs = ms; remainingMs > 0; remainingMs = (deadlineNanos - System.nanoTime()) / 1_000_000) {
            Message message = viewer.awaitMessage(remainingMs);
            if (message != null && message.type() == MessageType.RELEASE && message.session() == id) {
                return message;
            }
        }
        return null;
    }

    /** Guards against a session that is never released because its viewers' new connection was refused (review/2). */
    @Test
    void releaseIsSentOnAConnectionWhoseSetUpWasRefused() throws Exception {
        long id = establishSessionAndResetItsConnection();
        TestConnection second = connectViewer();
        sendRefusedSetUp(second);
        endSessionAtServer(id);
        Message release = awaitRelease(second, id, RELEASE_LIMIT_MS);
        assertNotNull(release);
        assertEquals(CAUSE_NORMAL, release.cause());
    }

    /** Guards against a release that waits for a connection and is not sent when viewers ask on one (as review/2). */
    @Test
    void waitingReleaseIsSentWhenASetUpArrivesThatStaysUnanswered() throws Exception {
        long id = establishSessionAndResetItsConnection();
        onSetUpAtBoth((connection, message) -> {});
        endSessionAtServer(id);
        awaitLoopIterations();
        TestConnection second = connectViewer();
        long setUpId = sendSetUp(second, "free");
        assertNotNull(awaitRelease(second, id, RELEASE_LIMIT_MS));
        Message answer = awaitRelease(second, setUpId, TIMEOUT_MS);
        assertNotNull(answer, "the set-up fails at its deadline");
        judge.receivedByViewer(answer);
    }

    /** Guards against a viewer's release that is never confirmed on the new connection on which it came. */
    @Test
    void releaseIsConfirmedOnANewConnectionThatSentOnlyTheViewersRelease() throws Exception {
        long id = establishSessionAndResetItsConnection();
        TestConnection second = connectViewer();
        second.send(new Message(MessageType.RELEASE, id).withCause(CAUSE_NORMAL));
        assertNotNull(awaitRelease(second, id, RELEASE_LIMIT_MS));
    }

    /** Guards against a release that is offered only to the two connections that were used last. */
    @Test
    void unacknowledgedReleaseIsSentOnEveryConnectionOfViewersInTurn() throws Exception {
        long id = establishSessionAndResetItsConnection();
        TestConnection secondLast = connectViewer();
        establishSession(secondLast, "free");
        TestConnection last = connectViewer();
        establishSession(last, "free");
        TestConnection refused = connectViewer();
        sendRefusedSetUp(refused);
        endSessionAtServer(id);
        assertNotNull(awaitRelease(last, id, RELEASE_LIMIT_MS));
        assertNotNull(awaitRelease(secondLast, id, RELEASE_LIMIT_MS));
        assertNotNull(awaitRelease(refused, id, RELEASE_LIMIT_MS));
    }

    /**
     * Guards against a release that is given up before its 8 s because connections that lead to nobody took its
     * transmissions.
     */
    @Test
    void releaseThatNobodyAcknowledgesIsSentOnAConnectionThatIsOpenedLater() throws Exception {
        long id = establishSessionAndResetItsConnection();
        TestConnection deaf = connectViewer();
        sendRefusedSetUp(deaf);
        endSessionAtServer(id);
        for (int transmission = 1; transmission <= 6; transmission++) {
            assertNotNull(awaitRelease(deaf, id, TIMEOUT_MS), "transmission " + transmission);
        }
        TestConnection late = connectViewer();
        sendSetUp(late, "free");
        assertNotNull(awaitRelease(late, id, RELEASE_LIMIT_MS));
    }

    /** Guards against a stop that ends a refused viewers' connection before a release on it is acknowledged. */
    @Test
    void stopWaitsForTheAcknowledgementOnAConnectionWhoseSetUpWasRefused() throws Exception {
        long id = establishSessionAndResetItsConnection();
        TestConnection second = connectViewer();
        sendRefusedSetUp(second);
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        assertFalse(done.await(600, TimeUnit.MILLISECONDS));
        endSessionAtServer(id);
        assertNotNull(awaitRelease(second, id, RELEASE_LIMIT_MS));
        assertFalse(done.await(600, TimeUnit.MILLISECONDS));
        second.send(new Message(MessageType.RELEASE_ACKNOWLEDGED, id));
        assertTrue(done.await(500, TimeUnit.MILLISECONDS));
    }

    /** Guards against releases on connections that lead to no viewer: tests, invalid set-ups, unknown sessions. */
    @Test
    void releaseIsNotSentOnConnectionsWithoutARequestOfViewers() throws Exception {
        long id = establishSessionAndResetItsConnection();
        TestConnection platform = connectViewer();
        platform.send(new Message(MessageType.TEST, 1).withCause(0));
        TestConnection unknownSession = connectViewer();
        unknownSession.send(new Message(MessageType.RELEASE, 99_999).withCause(CAUSE_NORMAL));
        TestConnection invalid = connectViewer();
        invalid.send(setUpMessage(99_998, "no-such-class", ""));
        assertNotNull(awaitRelease(invalid, 99_998, TIMEOUT_MS));
        endSessionAtServer(id);
        awaitLoopIterations();
        for (TestConnection stranger : new TestConnection[] {platform, unknownSession, invalid}) {
            assertNull(awaitRelease(stranger, id, 250));
        }
    }
}
