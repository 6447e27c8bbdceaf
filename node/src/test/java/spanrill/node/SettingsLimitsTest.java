package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import spanrill.wire.platform.MessageType;

/** Limits that a customer's settings state, where they are tighter than the node's own. */
class SettingsLimitsTest extends FrontNodeTestBase {
    @Override
    String adjustConfig(String json) {
        return json.replace("\"max_attempts\":3", "\"max_attempts\":3,\"max_streams\":1,\"probing\":false");
    }

    /** Where tests are not allowed a silent server is asked by a connection only; its session stands. */
    @Test
    void noServerIsTestedWhereTheSettingsForbidIt() throws Exception {
        TestConnection viewer = connectViewer();
        establishSession(viewer, "free");
        ScriptedServer at = firstServer.connectionCount() > 0 ? firstServer : secondServer;
        int before = at.connectionCount();
        assertNull(at.awaitMessage(MessageType.TEST, 4500), "silent for longer than two notes");
        assertTrue(at.connectionCount() > before, "a connection was tried");
        assertEquals(1, node.sessionCount());
    }

    /** One set-up on a connection at a time; what finds none is not sent. */
    @Test
    void noConnectionCarriesMoreSetUpsThanTheSettingsAllow() throws Exception {
        onSetUpAtBoth((wire, message) -> {});
        TestConnection crowd = connectViewer();
        for (int i = 0; i < 40; i++) {
            sendSetUp(crowd, "paid");
        }
        Set<TestConnection> used = new HashSet<>();
        int sent = 0;
        for (ScriptedServer.ReceivedMessage got = awaitSetUpAtServers(); got != null; got = awaitSetUpAtServers()) {
            used.add(got.connection());
            sent++;
        }
        assertEquals(used.size(), sent);
        assertNotNull(crowd.awaitMessage(TIMEOUT_MS), "the others are turned away");
    }
}
