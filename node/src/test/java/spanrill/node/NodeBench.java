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
abstract class NodeBench {
    static final long SOON = 3000;
    final RequestRuleChecker judge = new RequestRuleChecker();
    private final List<AutoCloseable> open = new ArrayList<>();

    @TempDir
    private Path folder;

    ScriptedServer one;
    ScriptedServer two;
    ScriptedDiscovery discovery;
    FrontNode node;
    long ids = 100;

    @BeforeEach
    void start() throws Exception {
        one = keep(new ScriptedServer("s-1", judge));
        two = keep(new ScriptedServer("s-2", judge));
        discovery = keep(new ScriptedDiscovery());
        node = FrontNode.start(
                config(discovery.port(), one.member("SERVING"), two.member("SERVING")),
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

    <T extends AutoCloseable> T keep(T peer) {
        open.add(peer);
        return peer;
    }

    NodeConfig config(int discoveryPort, String... members) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(
                file, adjust(TestConfig.json(freePort(), discoveryPort, List.of(TestConfig.event(1, true, members)))));
        return NodeConfig.read(file);
    }

    /** The configuration as these tests want it. */
    String adjust(String json) {
        return json;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    Wire viewer() throws IOException {
        return keep(Wire.to(node.address().getPort()));
    }

    /** What a test does while the node's loop is held: what comes meanwhile lies unread together. */
    interface Step {
        void run() throws Exception;
    }

    void whileHeld(Step step) throws Exception {
        Held held = new Held();
        node.eventLoop().execute(held);
        held.awaitBegin();
        step.run();
        held.over();
    }

    /** A task that holds the node's loop until it is over. */
    static final class Held implements Runnable {
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

        void awaitBegin() throws InterruptedException {
            began.await();
        }

        void over() {
            over.countDown();
        }
    }

    /** Waits until the node has read what was sent to it before, and has done what follows from it. */
    void settle() throws InterruptedException {
        for (int round = 0; round < 4; round++) {
            CountDownLatch ran = new CountDownLatch(1);
            node.eventLoop().execute(ran::countDown);
            ran.await();
        }
    }

    static Message setUp(long id, String className, String more) {
        return new Message(MessageType.SET_UP, id)
                .with(Parameter.CLASS, className)
                .with(Parameter.WAIT, "1500")
                .with(Parameter.TITLE, "7f3a9c21e0b4d655")
                .with(Parameter.ATTRIBUTES, "home:0;copies:1;top:2;viewer:" + String.format("%016x", id) + more)
                .with(Parameter.DESCRIPTION, "v=0".getBytes(StandardCharsets.UTF_8));
    }

    long ask(Wire viewer, String className) {
        long id = ++ids;
        judge.requestSent(id, className);
        viewer.send(setUp(id, className, ""));
        return id;
    }

    Message answer(Wire viewer, long ms) throws InterruptedException {
        Message message = viewer.next(ms);
        assertNotNull(message, "an answer in time");
        judge.receivedByViewer(message);
        return message;
    }

    long playing(Wire viewer, String className) throws InterruptedException {
        long id = ask(viewer, className);
        assertEquals(MessageType.ANSWER, answer(viewer, SOON).type());
        return id;
    }

    /** The set-up that reached one of the two servers. */
    ScriptedServer.Got atServer() throws InterruptedException {
        return atServer(MessageType.SET_UP);
    }

    /** The next message of a type that reached one of the two servers, or null. */
    ScriptedServer.Got atServer(MessageType type) throws InterruptedException {
        for (int i = 0; i < 300; i++) {
            for (ScriptedServer server : List.of(one, two)) {
                ScriptedServer.Got got = server.next(type, 5);
                if (got != null) {
                    return got;
                }
            }
        }
        return null;
    }

    void both(BiConsumer<Wire, Message> action) {
        one.onSetUp(action);
        two.onSetUp(action);
    }
}
