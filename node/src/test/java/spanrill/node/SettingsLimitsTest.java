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
class SettingsLimitsTest extends NodeBench {
    @Override
    String adjust(String json) {
        return json.replace("\"max_attempts\":3", "\"max_attempts\":3,\"max_streams\":1,\"probing\":false");
    }

    /** Where tests are not allowed a silent server is asked by a connection only; its session stands. */
    @Test
    void noServerIsTestedWhereTheSettingsForbidIt() throws Exception {
        Wire viewer = viewer();
        playing(viewer, "free");
        ScriptedServer at = one.connections() > 0 ? one : two;
        int before = at.connections();
        assertNull(at.next(MessageType.TEST, 4500), "silent for longer than two notes");
        assertTrue(at.connections() > before, "a connection was tried");
        assertEquals(1, node.sessionCount());
    }

    /** One set-up on a connection at a time; what finds none is not sent. */
    @Test
    void noConnectionCarriesMoreSetUpsThanTheSettingsAllow() throws Exception {
        both((wire, message) -> {});
        Wire crowd = viewer();
        for (int i = 0; i < 40; i++) {
            ask(crowd, "paid");
        }
        Set<Wire> used = new HashSet<>();
        int sent = 0;
        for (ScriptedServer.Got got = atServer(); got != null; got = atServer()) {
            used.add(got.wire());
            sent++;
        }
        assertEquals(used.size(), sent);
        assertNotNull(crowd.next(SOON), "the others are turned away");
    }
}
