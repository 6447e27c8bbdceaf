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

/** A scripted server on the loopback interface. By default it answers every set-up. */
final class ScriptedServer implements AutoCloseable {
    /** A message and the connection on which it was received. */
    record ReceivedMessage(TestConnection connection, Message message) {}

    final String id;
    final BlockingQueue<ReceivedMessage> received = new LinkedBlockingQueue<>();
    private final ServerSocket listener;
    private final List<TestConnection> connections = new CopyOnWriteArrayList<>();
    private final RequestRuleChecker judge;
    private volatile boolean crashing;
    private volatile BiConsumer<TestConnection, Message> onSetUp = this::sendAnswer;

    ScriptedServer(String id, RequestRuleChecker judge) throws IOException {
        this.id = id;
        this.judge = judge;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(this::accept, "server-" + id);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                if (crashing) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                    listener.close();
                    return;
                }
                socket.setTcpNoDelay(true);
                connections.add(new TestConnection(socket, this::onMessage));
            }
        } catch (IOException e) {
            // Closed by the test.
        }
    }

    private void onMessage(TestConnection connection, Message message) {
        judge.receivedByServer(id, message);
        received.add(new ReceivedMessage(connection, message));
        if (message.type() == MessageType.SET_UP) {
            onSetUp.accept(connection, message);
        }
    }

    /** Sends the default answer: a description with the ids of this server and the session. */
    void sendAnswer(TestConnection connection, Message setUp) {
        byte[] description = (id + "/" + setUp.session()).getBytes(java.nio.charset.StandardCharsets.UTF_8);
        judge.descriptionIssued(setUp.session(), description);
        connection.send(new Message(MessageType.ANSWER, setUp.session()).with(Parameter.DESCRIPTION, description));
    }

    void onSetUp(BiConsumer<TestConnection, Message> handler) {
        onSetUp = handler;
    }

    /** The next message of a type, or null when none arrives in time; other messages are dropped. */
    ReceivedMessage awaitMessage(MessageType type, long ms) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + ms * 1_000_000;
        for (long remainingMs = ms; remainingMs > 0; remainingMs = (deadlineNanos - System.nanoTime()) / 1_000_000) {
            ReceivedMessage next = received.poll(remainingMs, TimeUnit.MILLISECONDS);
            if (next != null && next.message().type() == type) {
                return next;
            }
        }
        return null;
    }

    /** The first connection of the node. */
    TestConnection awaitConnection(long ms) throws InterruptedException {
        for (long waitedMs = 0; connections.isEmpty() && waitedMs < ms; waitedMs += 5) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return connections.get(0);
    }

    int port() {
        return listener.getLocalPort();
    }

    String listEntry(String phase) {
        return TestConfig.member(id, port(), phase);
    }

    /** Simulates a crash that leaves one connection open and silent, as after a broken network path. */
    void crashLeavingOneConnectionOpen() throws IOException {
        listener.close();
        connections.subList(1, connections.size()).forEach(TestConnection::reset);
    }

    /**
     * Resets all connections but the first, and the next one that is opened: a dying process accepts for a moment
     * longer. Connections after that are refused.
     */
    void crashWhileOneMoreConnectionIsAccepted() {
        crashing = true;
        connections.subList(1, connections.size()).forEach(TestConnection::reset);
    }

    /** Closes all connections in order, as a server does with idle ones, and goes on listening. */
    void closeConnections() {
        connections.forEach(TestConnection::close);
    }

    /** True when the node ends all connections in time. */
    boolean awaitAllEnded(long ms) throws InterruptedException {
        for (TestConnection connection : connections) {
            if (!connection.awaitEnd(ms)) {
                return false;
            }
        }
        return true;
    }

    int connectionCount() {
        return connections.size();
    }

    /** Simulates a crash: refuses new connections and resets established ones. */
    @Override
    public void close() throws IOException {
        listener.close();
        connections.forEach(TestConnection::reset);
    }
}
