package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import spanrill.node.config.NodeConfig;
import spanrill.session.EventSink;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** A node between scripted viewers, servers and discovery, judged from what crossed the sockets. */
@Timeout(30)
abstract class FrontNodeTestBase {
    static final long TIMEOUT_MS = 3000;
    final RequestRuleChecker judge = new RequestRuleChecker();
    private final List<AutoCloseable> open = new ArrayList<>();

    @TempDir
    private Path folder;

    ScriptedServer firstServer;
    ScriptedServer secondServer;
    ScriptedDiscovery discovery;
    FrontNode node;
    long lastSessionId = 100;

    @BeforeEach
    void start() throws Exception {
        firstServer = closeAfterTest(new ScriptedServer("s-1", judge));
        secondServer = closeAfterTest(new ScriptedServer("s-2", judge));
        discovery = closeAfterTest(new ScriptedDiscovery());
        node = FrontNode.start(
                createConfig(discovery.port(), firstServer.listEntry("SERVING"), secondServer.listEntry("SERVING")),
                EventSink.none(),
                EventSink.none());
    }

    @AfterEach
    void stop() throws Exception {
        node.close();
        for (AutoCloseable each : open) {
            each.close();
        }
        assertEquals(List.of(), judge.violations());
    }

    <T extends AutoCloseable> T closeAfterTest(T peer) {
        open.add(peer);
        return peer;
    }

    NodeConfig createConfig(int discoveryPort, String... members) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                adjustConfig(TestConfig.json(freePort(), discoveryPort, List.of(TestConfig.event(1, true, members)))));
        return NodeConfig.read(file);
    }

    /** The configuration as these tests want it. */
    String adjustConfig(String json) {
        return json;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    TestConnection connectViewer() throws IOException {
        return closeAfterTest(TestConnection.connect(node.address().getPort()));
    }

    /** What a test does while the node's loop is held: what comes meanwhile lies unread together. */
    interface ThrowingAction {
        void run() throws Exception;
    }

    void whileLoopIsBlocked(ThrowingAction step) throws Exception {
        LoopBlocker held = new LoopBlocker();
        node.eventLoop().execute(held);
        held.awaitBlocked();
        step.run();
        held.unblock();
    }

    /** A task that holds the node's loop until it is over. */
    static final class LoopBlocker implements Runnable {
        private final CountDownLatch began = new CountDownLatch(1);
        private final CountDownLatch over = new CountDownLatch(1);

        @Override
        public void run() {
            began.countDown();
            try {
                over.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void awaitBlocked() throws InterruptedException {
            began.await();
        }

        void unblock() {
            over.countDown();
        }
    }

    /** Waits until the node has read what was sent to it before, and has done what follows from it. */
    void awaitLoopIterations() throws InterruptedException {
        for (int round = 0; round < 4; round++) {
            CountDownLatch ran = new CountDownLatch(1);
            node.eventLoop().execute(ran::countDown);
            ran.await();
        }
    }

    static Message setUpMessage(long id, String className, String more) {
        return new Message(MessageType.SET_UP, id)
                .with(Parameter.CLASS, className)
                .with(Parameter.WAIT, "1500")
                .with(Parameter.TITLE, "7f3a9c21e0b4d655")
                .with(Parameter.ATTRIBUTES, "home:0;copies:1;top:2;viewer:" + String.format("%016x", id) + more)
                .with(Parameter.DESCRIPTION, "v=0".getBytes(StandardCharsets.UTF_8));
    }

    long sendSetUp(TestConnection viewer, String className) {
        long id = ++lastSessionId;
        judge.requestSent(id, className);
        viewer.send(setUpMessage(id, className, ""));
        return id;
    }

    Message awaitAnswer(TestConnection viewer, long ms) throws InterruptedException {
        Message message = viewer.awaitMessage(ms);
        assertNotNull(message, "an answer in time");
        judge.receivedByViewer(message);
        return message;
    }

    long establishSession(TestConnection viewer, String className) throws InterruptedException {
        long id = sendSetUp(viewer, className);
        assertEquals(MessageType.ANSWER, awaitAnswer(viewer, TIMEOUT_MS).type());
        return id;
    }

    /** The set-up that reached one of the two servers. */
    ScriptedServer.ReceivedMessage awaitSetUpAtServers() throws InterruptedException {
        return awaitAtServers(MessageType.SET_UP);
    }

    /** The next message of a type that reached one of the two servers, or null. */
    ScriptedServer.ReceivedMessage awaitAtServers(MessageType type) throws InterruptedException {
        for (int i = 0; i < 300; i++) {
            for (ScriptedServer server : List.of(firstServer, secondServer)) {
                ScriptedServer.ReceivedMessage got = server.awaitMessage(type, 5);
                if (got != null) {
                    return got;
                }
            }
        }
        return null;
    }

    void onSetUpAtBoth(BiConsumer<TestConnection, Message> action) {
        firstServer.onSetUp(action);
        secondServer.onSetUp(action);
    }
}
