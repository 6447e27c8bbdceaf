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

/** The program as the platform starts it: its configuration, and signals. */
@Timeout(60)
class MainTest {
    @TempDir
    private Path folder;

    private Process process;

    @AfterEach
    void end() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private BufferedReader start(String config) throws IOException {
        return start(config, List.of());
    }

    /** Starts it; {@code before} are the words of a command that starts it in turn. */
    private BufferedReader start(String config, List<String> before) throws IOException {
        Path file = folder.resolve("config.json");
        if (config != null) {
            Files.writeString(file, config);
        }
        List<String> words = new ArrayList<>(before);
        words.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "spanrill.node.Main"));
        ProcessBuilder builder = new ProcessBuilder(words);
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
    void aWrongConfigurationIsOneLineAndExitCodeTwo() throws Exception {
        String good = TestConfig.json(3868, 4222, List.of());
        BufferedReader log = start(good.replace("\"racks\":1", "\"racks\":\"x\""));
        List<String> lines = log.lines().toList();
        assertEquals(2, process.waitFor());
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).contains("config.json: 'settings.family_info.racks' is not a number: 'x'"));
    }

    @Test
    void aMissingConfigurationIsOneLineAndExitCodeTwo() throws Exception {
        List<String> lines = start(null).lines().toList();
        assertEquals(2, process.waitFor());
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).contains("config.json"));
    }

    /** SIGHUP never ends the program, whatever the file holds by then; SIGTERM ends it with 0. */
    @Test
    void signalsReloadAndStop() throws Exception {
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

    /** A second SIGTERM changes nothing, a new configuration is taken up until the end. */
    @Test
    void signalsDuringAStopDoNotEndItEarly() throws Exception {
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
            assertEquals(1, platform.awaitMessage(5000).cause(), "it serves while requests may come");
        }
        assertTrue(lineWith(log, "shutdown.drain") != null);
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /** Nothing was accepted yet, so nothing is owed: it ends at once and never serves. */
    @Test
    void aStopDuringTheStartEndsItAtOnce() throws Exception {
        try (ServerSocket silent = new ServerSocket(0)) {
            BufferedReader log = start(TestConfig.json(freePort(), silent.getLocalPort(), List.of()));
            lineWith(log, "node.warm");
            signal("TERM");
            List<String> rest = log.lines().toList();
            assertTrue(process.waitFor(5, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue());
            assertTrue(rest.stream().anyMatch(line -> line.contains("phase=start")), rest.toString());
            assertTrue(rest.stream().noneMatch(line -> line.contains("node.serving")), rest.toString());
        }
    }

    /** As under nohup: the runtime leaves the signal ignored, operators would wait for a reload in vain. */
    @Test
    void saysWhenItWasStartedWithSignalsIgnored() throws Exception {
        BufferedReader log = start(
                TestConfig.json(freePort(), freePort(), List.of()),
                List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        List<String> said = new ArrayList<>();
        do {
            said.add(log.readLine());
        } while (!said.get(said.size() - 1).contains("node.serving"));
        assertTrue(said.stream().anyMatch(line -> line.contains("signal.ignored") && line.contains("HUP")));
        signal("TERM");
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }
}
