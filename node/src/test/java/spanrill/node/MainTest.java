package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;

/** The front node as a process, as the platform starts it: configuration errors and signals. */
@Timeout(60)
class MainTest {
    @TempDir
    private Path folder;

    private Process process;

    @AfterEach
    void killProcess() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private BufferedReader start(String config) throws IOException {
        return start(config, List.of());
    }

    /** Starts the node as a process; {@code launcher} holds the words of a command that runs it, if any. */
    private BufferedReader start(String config, List<String> launcher) throws IOException {
        Path file = folder.resolve("config.json");
        if (config != null) {
            Files.writeString(file, config);
        }
        List<String> command = new ArrayList<>(launcher);
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "spanrill.node.Main"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("EDGE_CONFIG", file.toString());
        process = builder.redirectErrorStream(true).start();
        return process.inputReader(StandardCharsets.UTF_8);
    }

    private static String lineWith(BufferedReader log, String text) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(text)) {
                return line;
            }
        }
        return null;
    }

    private void signal(String name) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    @Test
    void invalidConfigurationExitsWithCodeTwoAndOneLine() throws Exception {
        String good = TestConfig.json(3868, 4222, List.of());
        BufferedReader log = start(good.replace("\"racks\":1", "\"racks\":\"x\""));
        List<String> lines = log.lines().toList();
        assertEquals(2, process.waitFor());
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).contains("config.json: 'settings.family_info.racks' is not a number: 'x'"));
    }

    @Test
    void missingConfigurationExitsWithCodeTwoAndOneLine() throws Exception {
        List<String> lines = start(null).lines().toList();
        assertEquals(2, process.waitFor());
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).contains("config.json"));
    }

    /**
     * SIGHUP never ends the process, even when the configuration file has become invalid; SIGTERM ends it with code 0.
     */
    @Test
    void sighupReloadsTheConfigurationAndSigtermStops() throws Exception {
        int port = freePort();
        String config = TestConfig.json(port, freePort(), List.of());
        BufferedReader log = start(config);
        assertTrue(lineWith(log, "node.serving").contains(Integer.toString(port)));
        Files.writeString(folder.resolve("config.json"), "{\"bulletin\":");
        signal("HUP");
        assertTrue(lineWith(log, "config.unusable").contains("config.json"));
        Files.writeString(folder.resolve("config.json"), config);
        signal("HUP");
        assertTrue(lineWith(log, "config.loaded").contains("config.json"));
        try (TestConnection platform = TestConnection.connect(port)) {
            platform.send(new Message(MessageType.TEST, 1).withCause(0));
            assertEquals(1, platform.awaitMessage(5000).cause());
        }
        signal("TERM");
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
        assertFalse(process.isAlive());
    }

    /** A second SIGTERM has no effect, and the configuration can be reloaded while the node shuts down. */
    @Test
    void signalsDuringShutdownDoNotEndItEarly() throws Exception {
        int port = freePort();
        BufferedReader log = start(TestConfig.json(port, freePort(), List.of()));
        lineWith(log, "node.serving");
        signal("TERM");
        lineWith(log, "node.stopping");
        signal("TERM");
        signal("HUP");
        assertTrue(lineWith(log, "config.loaded") != null);
        try (TestConnection platform = TestConnection.connect(port)) {
            platform.send(new Message(MessageType.TEST, 1).withCause(0));
            assertEquals(1, platform.awaitMessage(5000).cause(), "the node serves while requests may arrive");
        }
        assertTrue(lineWith(log, "shutdown.drain") != null);
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /** No connection has been accepted yet, so the process ends at once. */
    @Test
    void sigtermDuringStartUpEndsTheProcessAtOnce() throws Exception {
        try (ServerSocket silentDiscovery = new ServerSocket(0)) {
            BufferedReader log = start(TestConfig.json(freePort(), silentDiscovery.getLocalPort(), List.of()));
            lineWith(log, "node.warm");
            signal("TERM");
            List<String> remainingLines = log.lines().toList();
            assertTrue(process.waitFor(5, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue());
            assertTrue(
                    remainingLines.stream().anyMatch(line -> line.contains("phase=start")), remainingLines.toString());
            assertTrue(
                    remainingLines.stream().noneMatch(line -> line.contains("node.serving")),
                    remainingLines.toString());
        }
    }

    /**
     * Under nohup, for example, the runtime keeps ignoring SIGHUP; without a log line operators would expect a reload.
     */
    @Test
    void logsThatSighupIsIgnored() throws Exception {
        BufferedReader log = start(
                TestConfig.json(freePort(), freePort(), List.of()),
                List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        List<String> lines = new ArrayList<>();
        do {
            lines.add(log.readLine());
        } while (!lines.get(lines.size() - 1).contains("node.serving"));
        assertTrue(lines.stream().anyMatch(line -> line.contains("signal.ignored") && line.contains("HUP")));
        signal("TERM");
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }
}
