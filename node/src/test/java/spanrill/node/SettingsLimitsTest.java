package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.MessageType;

/** Tests limits of a customer's settings that are tighter than the node's own. */
class SettingsLimitsTest extends FrontNodeTestBase {
    @Override
    String adjustConfig(String json) {
        return json.replace("\"max_attempts\":3", "\"max_attempts\":3,\"max_streams\":1,\"probing\":false");
    }

    /** Without test messages, a silent server is probed by a new connection only; its session stays established. */
    @Test
    void serversAreNotTestedWhenProbingIsDisabled() throws Exception {
        TestConnection viewer = connectViewer();
        establishSession(viewer, "free");
        ScriptedServer server = firstServer.connectionCount() > 0 ? firstServer : secondServer;
        int connectionsBefore = server.connectionCount();
        assertNull(
                server.awaitMessage(MessageType.TEST, 4500), "the server was silent for more than two note intervals");
        assertTrue(server.connectionCount() > connectionsBefore, "a connection was opened");
        assertEquals(1, node.sessionCount());
    }

    /** Each connection takes one set-up at a time; a set-up that finds no connection is not sent. */
    @Test
    void connectionCarriesAtMostMaxStreamsSetUps() throws Exception {
        onSetUpAtBoth((connection, message) -> {});
        TestConnection viewer = connectViewer();
        for (int i = 0; i < 40; i++) {
            sendSetUp(viewer, "paid");
        }
        Set<TestConnection> usedConnections = new HashSet<>();
        int setUps = 0;
        for (ScriptedServer.ReceivedMessage received = awaitSetUpAtServers();
                received != null;
                received = awaitSetUpAtServers()) {
            usedConnections.add(received.connection());
            setUps++;
        }
        assertEquals(usedConnections.size(), setUps);
        assertNotNull(viewer.awaitMessage(TIMEOUT_MS), "the other set-ups are refused");
    }
}
