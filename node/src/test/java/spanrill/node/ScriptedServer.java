package spanrill.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** A server on loopback that does what the test says; unless told otherwise it answers every set-up. */
final class ScriptedServer implements AutoCloseable {
    /** A message and the connection that it came on. */
    record ReceivedMessage(TestConnection connection, Message message) {}

    final String id;
    final BlockingQueue<ReceivedMessage> received = new LinkedBlockingQueue<>();
    private final ServerSocket listening;
    private final List<TestConnection> wires = new CopyOnWriteArrayList<>();
    private final RequestRuleChecker judge;
    private volatile BiConsumer<TestConnection, Message> onSetUp = this::sendAnswer;

    ScriptedServer(String id, RequestRuleChecker judge) throws IOException {
        this.id = id;
        this.judge = judge;
        listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread accepting = new Thread(this::accept, "server-" + id);
        accepting.setDaemon(true);
        accepting.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                wires.add(new TestConnection(socket, this::heard));
            }
        } catch (IOException e) {
            // Closed by the test.
        }
    }

    private void heard(TestConnection wire, Message message) {
        judge.receivedByServer(id, message);
        received.add(new ReceivedMessage(wire, message));
        if (message.type() == MessageType.SET_UP) {
            onSetUp.accept(wire, message);
        }
    }

    /** The usual answer: a description of this server for this session. */
    void sendAnswer(TestConnection wire, Message setUp) {
        byte[] description = (id + "/" + setUp.session()).getBytes(java.nio.charset.StandardCharsets.UTF_8);
        judge.descriptionIssued(setUp.session(), description);
        wire.send(new Message(MessageType.ANSWER, setUp.session()).with(Parameter.DESCRIPTION, description));
    }

    void onSetUp(BiConsumer<TestConnection, Message> action) {
        onSetUp = action;
    }

    /** The next message of a type. */
    ReceivedMessage awaitMessage(MessageType type, long ms) throws InterruptedException {
        long until = System.nanoTime() + ms * 1_000_000;
        for (long left = ms; left > 0; left = (until - System.nanoTime()) / 1_000_000) {
            ReceivedMessage next = received.poll(left, TimeUnit.MILLISECONDS);
            if (next != null && next.message().type() == type) {
                return next;
            }
        }
        return null;
    }

    int port() {
        return listening.getLocalPort();
    }

    String listEntry(String phase) {
        return TestConfig.member(id, port(), phase);
    }

    /** Its process dies, but one connection is left open and silent, as after a broken path. */
    void crashLeavingOneConnectionOpen() throws IOException {
        listening.close();
        wires.subList(1, wires.size()).forEach(TestConnection::reset);
    }

    /** Closes its connections in order, as one that finds them idle; it goes on listening. */
    void closeConnections() {
        wires.forEach(TestConnection::close);
    }

    /** True when all connections to it were ended by the other side in time. */
    boolean awaitAllEnded(long ms) throws InterruptedException {
        for (TestConnection wire : wires) {
            if (!wire.awaitEnd(ms)) {
                return false;
            }
        }
        return true;
    }

    int connectionCount() {
        return wires.size();
    }

    /** Dies: refuses connections and resets those that stand. */
    @Override
    public void close() throws IOException {
        listening.close();
        wires.forEach(TestConnection::reset);
    }
}
