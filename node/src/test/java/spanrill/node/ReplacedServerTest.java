package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;

/**
 * Tests a new server at the address of one that the list does not call gone yet. The scripted server s-1 plays both: a
 * connection to its address does not show which of them is reached.
 */
class ReplacedServerTest extends FrontNodeTestBase {
    private static final long SILENCE_MS = 300;

    private ScriptedDiscovery.StreamRequest request;
    private TestConnection viewer;

    @BeforeEach
    void connect() throws Exception {
        request = discovery.awaitRequest(TIMEOUT_MS);
        viewer = connectViewer();
    }

    /** The new server drains from the start, so that nothing may be set up at the address any more. */
    private void publishSuccessorOfFirstServer() throws Exception {
        request.sendEvent(2, TestConfig.event(2, false, TestConfig.member("s-new", firstServer.port(), "DRAINING")));
    }

    private long establishAt(ScriptedServer server) throws Exception {
        while (true) {
            long id = establishSession(viewer, "free");
            if (server.awaitMessage(MessageType.SET_UP, 50) != null) {
                return id;
            }
        }
    }

    /** Guards against set-ups for a server that has gone, at the server that took over its address (review/8). */
    @Test
    void noSetUpIsSentToTheAddressForTheServerThatHadIt() throws Exception {
        establishAt(firstServer);
        publishSuccessorOfFirstServer();
        assertNotNull(viewer.awaitMessage(TIMEOUT_MS), "the sessions at s-1 have ended");
        for (int i = 0; i < 8; i++) {
            establishSession(connectViewer(), "free");
        }
        assertNull(firstServer.awaitMessage(MessageType.SET_UP, SILENCE_MS));
    }

    /**
     * Guards against sessions that are released late because the new server answers on a connection of the old one
     * (review/9). The new one may run them, so it is sent their release too.
     */
    @Test
    void sessionsAreReleasedAtOnceThoughTheAddressStillAnswers() throws Exception {
        long id = establishAt(firstServer);
        publishSuccessorOfFirstServer();
        assertEquals(id, viewer.awaitMessage(TIMEOUT_MS).session());
        ScriptedServer.ReceivedMessage release = firstServer.awaitMessage(MessageType.RELEASE, TIMEOUT_MS);
        assertNotNull(release);
        assertEquals(id, release.message().session());
    }

    /** Guards against an answer of the new server that is taken for one of the old server. */
    @Test
    void openAttemptIsGivenUpAndSentElsewhere() throws Exception {
        long established = establishAt(firstServer);
        firstServer.onSetUp((connection, setUp) -> {});
        long id = 0;
        ScriptedServer.ReceivedMessage open = null;
        while (open == null) {
            id = sendSetUp(viewer, "free");
            open = firstServer.awaitMessage(MessageType.SET_UP, 50);
            if (open == null) {
                awaitAnswer(viewer, TIMEOUT_MS);
            }
        }
        publishSuccessorOfFirstServer();
        assertEquals(established, viewer.awaitMessage(TIMEOUT_MS).session());
        viewer.send(new Message(MessageType.RELEASE_ACKNOWLEDGED, established));
        Message answer = awaitAnswer(viewer, TIMEOUT_MS);
        assertEquals(id, answer.session());
        assertEquals(MessageType.ANSWER, answer.type());
        firstServer.sendAnswer(open.connection(), open.message());
        assertNull(viewer.awaitMessage(SILENCE_MS), "the late answer is not passed on");
    }
}
