package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** Tests requests, list updates and stops that come while the node stands still, as a stopped process does. */
class PauseTest extends FrontNodeTestBase {
    private static final long PAUSE_MS = 1200;
    /** Wait of the test's set-ups, ms. */
    private static final long WAIT_MS = 1500;
    /** Silence of the list after which the node asks again, and more, ms. */
    private static final long LONG_PAUSE_MS = 2500;
    /** Time from SIGTERM to SIGKILL with the deadlines of the test's classes, ms. */
    private static final long KILL_MS = 2200;
    /** Time after the viewer's time until which an answer is late but not lost, ms. */
    private static final long LOST_AFTER_MS = 500;

    private static final Set<Integer> REFUSAL_CAUSES = Set.of(34, 42, 102);

    /** Guards against a request that gets its whole time again after a pause and is answered too late (issue 54). */
    @Test
    void requestReadAfterAPauseIsAnsweredInTimeThoughItsServerIsSilent() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        TestConnection viewer = connectViewer();
        pauseLoopBeforeItsTimers(PAUSE_MS);
        long sentNs = System.nanoTime();
        sendSetUp(viewer, "paid");
        Message answer = awaitAnswer(viewer, WAIT_MS + PAUSE_MS + TIMEOUT_MS);
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNs);
        assertNotNull(answer);
        assertTrue(elapsedMs <= WAIT_MS + LOST_AFTER_MS, "answered after " + elapsedMs + " ms");
    }

    /** Guards against an attempt for which too little time is left, and against a failure without proof (issue 54). */
    @Test
    void requestThatOutlivesItsWaitInAPauseIsRefusedUnforwarded() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        TestConnection viewer = connectViewer();
        pauseLoopBeforeItsTimers(LONG_PAUSE_MS);
        sendSetUp(viewer, "paid");
        Message answer = awaitAnswer(viewer, LONG_PAUSE_MS + TIMEOUT_MS);
        assertTrue(REFUSAL_CAUSES.contains(answer.cause()), "cause " + answer.cause());
        assertEquals(0, setUpsAt(firstServer) + setUpsAt(secondServer));
    }

    /**
     * Guards against SIGKILL finding requests unanswered because SIGTERM came at the beginning of a pause (issue 54).
     */
    @Test
    void stopRequestedInAPauseAnswersBeforeTheKill() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        TestConnection viewer = connectViewer();
        sendPatientSetUp(viewer, "paid");
        assertNotNull(awaitSetUpAtServers());
        pauseLoopBeforeItsTimers(PAUSE_MS);
        long stoppedNs = System.nanoTime();
        CountDownLatch done = new CountDownLatch(1);
        node.stop(done::countDown);
        assertNotNull(awaitAnswer(viewer, PAUSE_MS + TIMEOUT_MS));
        assertTrue(done.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedNs);
        assertTrue(elapsedMs <= KILL_MS, "ended after " + elapsedMs + " ms");
    }

    /** Guards against set-ups placed by the list as it was before the pause (review/3). */
    @Test
    void setUpReadAfterAPauseIsNotSentToAServerThatDrainsSinceThen() throws Exception {
        ScriptedDiscovery.StreamRequest stream = discovery.awaitRequest(TIMEOUT_MS);
        TestConnection viewer = connectViewer();
        pauseLoopBeforeItsTimers(LONG_PAUSE_MS);
        for (int i = 0; i < 6; i++) {
            sendPatientSetUp(viewer, "free");
        }
        stream.sendEvent(2, TestConfig.event(2, false, firstServer.listEntry("DRAINING")));
        for (int i = 0; i < 6; i++) {
            assertNotNull(awaitAnswer(viewer, LONG_PAUSE_MS + TIMEOUT_MS));
        }
        assertEquals(0, setUpsAt(firstServer));
    }

    private static long setUpsAt(ScriptedServer server) {
        return server.received.stream()
                .filter(received -> received.message().type() == MessageType.SET_UP)
                .count();
    }

    /** Sends a set-up whose viewer waits for longer than any pause of these tests. */
    private void sendPatientSetUp(TestConnection viewer, String className) {
        long id = ++lastSessionId;
        judge.requestSent(id, className);
        viewer.send(new Message(MessageType.SET_UP, id)
                .with(Parameter.CLASS, className)
                .with(Parameter.WAIT, "8000")
                .with(Parameter.TITLE, "7f3a9c21e0b4d655")
                .with(Parameter.ATTRIBUTES, "home:0;copies:1;top:2;viewer:" + String.format("%016x", id))
                .with(Parameter.DESCRIPTION, "v=0".getBytes(StandardCharsets.UTF_8)));
    }

    private void pauseLoopBeforeItsTimers(long pauseMs) throws InterruptedException {
        awaitLoopIterations();
        LoopPause.start(node.eventLoop(), pauseMs);
    }
}
