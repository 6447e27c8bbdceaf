package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.Cause;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;

/** Tests sessions that are handed over at a server before the list names it. Class "free" has one seat a title. */
class HandOverTest extends FrontNodeTestBase {
    private static final long SESSION_ID = 7;

    private ScriptedServer lateServer;
    private TestConnection viewer;

    @Override
    String adjustConfig(String json) {
        return json.replace("\"class_seats\":[0,0]", "\"class_seats\":[1,0]");
    }

    @BeforeEach
    void handOverAtAServerThatIsListedLater() throws Exception {
        lateServer = closeAfterTest(new ScriptedServer("s-late", judge));
        ScriptedDiscovery.StreamRequest request = discovery.awaitRequest(TIMEOUT_MS);
        viewer = connectViewer();
        viewer.send(setUpMessage(SESSION_ID, "free", ";at:s-late"));
        viewer.send(new Message(MessageType.TEST, 1).withCause(0));
        assertEquals(MessageType.TEST_RESULT, viewer.awaitMessage(TIMEOUT_MS).type());
        request.sendEvent(2, TestConfig.event(2, false, lateServer.listEntry("SERVING")));
    }

    /** Guards against sessions that are never released because their server gets no connection (review/10). */
    @Test
    void endOfTheSessionReachesItsViewer() throws Exception {
        TestConnection connection = lateServer.awaitConnection(TIMEOUT_MS);
        connection.send(new Message(MessageType.RELEASE, SESSION_ID).withCause(Cause.NORMAL_CLEARING));
        Message release = viewer.awaitMessage(TIMEOUT_MS);
        assertEquals(MessageType.RELEASE, release.type());
        assertEquals(SESSION_ID, release.session());
    }

    /** Guards against seats that are exceeded because the module never learned of the session (review/10). */
    @Test
    void sessionTakesItsSeatOnceItsServerIsListed() throws Exception {
        lateServer.awaitConnection(TIMEOUT_MS);
        sendSetUp(viewer, "free");
        Message answer = awaitAnswer(viewer, TIMEOUT_MS);
        assertEquals(MessageType.RELEASE, answer.type());
        assertTrue(answer.cause() == Cause.CONGESTION, "refused, cause " + answer.cause());
    }
}
