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
import spanrill.loop.NextIterationExecutor;
import spanrill.node.config.NodeConfig;
import spanrill.session.EventSink;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/**
 * Runs a node between scripted viewers, servers and discovery. After each test, the messages that crossed the sockets
 * are checked against the request rules.
 */
@Timeout(30)
abstract class FrontNodeTestBase {
    static final long TIMEOUT_MS = 3000;
    final RequestRuleChecker judge = new RequestRuleChecker();
    private final List<AutoCloseable> resources = new ArrayList<>();

    @TempDir
    private Path tempFolder;

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
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        assertEquals(List.of(), judge.violations());
    }

    <T extends AutoCloseable> T closeAfterTest(T resource) {
        resources.add(resource);
        return resource;
    }

    NodeConfig createConfig(int discoveryPort, String... members) throws IOException {
        Path file = tempFolder.resolve("config.json");
        Files.writeString(
                file,
                adjustConfig(TestConfig.json(freePort(), discoveryPort, List.of(TestConfig.event(1, true, members)))));
        return NodeConfig.read(file);
    }

    /** Changes the configuration for the tests of a subclass. */
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

    /** Action of a test while the node's event loop is blocked: all input that arrives meanwhile is read together. */
    interface ThrowingAction {
        void run() throws Exception;
    }

    void whileLoopIsBlocked(ThrowingAction action) throws Exception {
        LoopBlocker blocker = new LoopBlocker();
        node.eventLoop().execute(blocker);
        blocker.awaitBlocked();
        action.run();
        blocker.unblock();
    }

    /** A task that blocks the node's event loop until it is released. */
    static final class LoopBlocker implements Runnable {
        private final CountDownLatch started = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        @Override
        public void run() {
            started.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void awaitBlocked() throws InterruptedException {
            started.await();
        }

        void unblock() {
            released.countDown();
        }
    }

    /**
     * Waits until the node has read and handled all messages sent to it before. Tasks that follow each other closely
     * run in one iteration, so each round waits for an iteration that reads.
     */
    void awaitLoopIterations() throws InterruptedException {
        NextIterationExecutor nextIteration = new NextIterationExecutor(node.eventLoop());
        for (int round = 0; round < 4; round++) {
            CountDownLatch executed = new CountDownLatch(1);
            node.eventLoop().execute(() -> nextIteration.execute(executed::countDown));
            executed.await();
        }
    }

    static Message setUpMessage(long id, String className, String extraAttributes) {
        return new Message(MessageType.SET_UP, id)
                .with(Parameter.CLASS, className)
                .with(Parameter.WAIT, "1500")
                .with(Parameter.TITLE, "7f3a9c21e0b4d655")
                .with(
                        Parameter.ATTRIBUTES,
                        "home:0;copies:1;top:2;viewer:" + String.format("%016x", id) + extraAttributes)
                .with(Parameter.DESCRIPTION, "v=0".getBytes(StandardCharsets.UTF_8));
    }

    long sendSetUp(TestConnection viewer, String className) {
        long id = ++lastSessionId;
        judge.requestSent(id, className);
        viewer.send(setUpMessage(id, className, ""));
        return id;
    }

    Message awaitAnswer(TestConnection viewer, long ms) throws InterruptedException {
        Message answer = viewer.awaitMessage(ms);
        assertNotNull(answer, "no answer in time");
        judge.receivedByViewer(answer);
        return answer;
    }

    long establishSession(TestConnection viewer, String className) throws InterruptedException {
        long id = sendSetUp(viewer, className);
        assertEquals(MessageType.ANSWER, awaitAnswer(viewer, TIMEOUT_MS).type());
        return id;
    }

    /** The next set-up that one of the two servers receives, or null. */
    ScriptedServer.ReceivedMessage awaitSetUpAtServers() throws InterruptedException {
        return awaitAtServers(MessageType.SET_UP);
    }

    /** The next message of a type that one of the two servers receives, or null. */
    ScriptedServer.ReceivedMessage awaitAtServers(MessageType type) throws InterruptedException {
        for (int i = 0; i < 300; i++) {
            for (ScriptedServer server : List.of(firstServer, secondServer)) {
                ScriptedServer.ReceivedMessage received = server.awaitMessage(type, 5);
                if (received != null) {
                    return received;
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
