package spanrill.node.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import spanrill.SessionControl.ServerState;
import spanrill.node.TestConfig;
import spanrill.setup.InvalidFieldException;

class NodeConfigTest {
    private static final String VALID = TestConfig.json(
            3868,
            4222,
            List.of(
                    TestConfig.event(1, true, TestConfig.member("s-1", 4001, "SERVING")),
                    TestConfig.event(2, false, TestConfig.member("s-1", 4001, "DRAINING"))));

    private static NodeConfig read(String json) {
        return NodeConfig.of(JsonPairs.read(json.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void readsAConfiguration() {
        NodeConfig config = read(VALID);
        assertEquals("n0", config.name());
        assertEquals(3868, config.listen().getPort());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(2, config.lastKnownUpdate());
        assertEquals(
                ServerState.DRAINING,
                config.knownUpdates().get(1).members().get(0).server().state());
        assertEquals(1500, config.maxDeadlineMs());
        assertEquals(List.of(100.0, 200.0, 400.0), config.settings().rungKb());
        assertTrue(config.settings().classes().get(1).once());
        assertTrue(config.settings().tenants().isEmpty());
        assertTrue(Double.isNaN(config.settings().rules().attemptWindowMs()));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"max_attempts\":3|\"max_attempts\":\"x\"|settings.limits.max_attempts",
                "\"max_attempts\":3|\"max_attempts\":2.5|settings.limits.max_attempts",
                "\"cell\":0|\"cell\":\"north\"|known.items.0.roster.members.0.cell",
                "\"phase\":\"SERVING\"|\"phase\":\"ASLEEP\"|known.items.0.roster.members.0.phase",
                "\"target\":800.0|\"aim\":800.0|settings.classes.0.target",
                "127.0.0.1:4222|bulletin.example:4222|bulletin",
                "\"seed\":\"8c1f30d27a5be964\"|\"seed\":\"seed\"|seed",
                "\"sockets\":256|\"sockets\":20|limits.sockets",
                "\"class_top\":[2,2]|\"class_top\":[2]|settings.family_info.class_top",
                "\"class_top\":[2,2]|\"class_top\":[[2],2]|settings.family_info.class_top"
            })
    void invalidFieldIsNamedByItsPath(String validText, String invalidText, String path) {
        assertTrue(VALID.contains(validText), validText);
        InvalidFieldException exception = assertThrows(
                InvalidFieldException.class,
                () -> read(VALID.replaceFirst(java.util.regex.Pattern.quote(validText), invalidText)));
        assertEquals(path, exception.path());
    }

    /** A truncated file is rejected with the exception for invalid fields, wherever it ends. */
    @Test
    void configurationTruncatedAtAnyByteIsRejected() {
        String complete = VALID.stripTrailing();
        for (int length = 0; length < complete.length(); length++) {
            String truncated = complete.substring(0, length);
            assertThrows(InvalidFieldException.class, () -> read(truncated));
        }
    }

    @Test
    void tooDeepTooLongOrMalformedJsonIsRejected() {
        assertThrows(InvalidFieldException.class, () -> read("{\"a\":".repeat(1000)));
        assertThrows(InvalidFieldException.class, () -> read("{\"a\":\"" + "x".repeat(100_000) + "\"}"));
        assertThrows(InvalidFieldException.class, () -> read("[1]"));
        assertThrows(InvalidFieldException.class, () -> read("{} {}"));
    }
}
