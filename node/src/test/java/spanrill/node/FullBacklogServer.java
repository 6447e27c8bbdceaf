package spanrill.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import spanrill.wire.platform.Message;

/**
 * A server to which no connection is established before the test calls {@link #open}: its accept queue is full of the
 * test's own connections, so the kernel of any other client retransmits its SYN (after 1 s, then 2 s).
 */
final class FullBacklogServer implements AutoCloseable {
    final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    private static final int CONNECT_TIMEOUT_MS = 100;
    private final ServerSocket listener;
    private final List<Socket> fillers = new ArrayList<>();

    FullBacklogServer() throws IOException {
        listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        try {
            while (fillers.size() < 16) {
                Socket filler = new Socket();
                fillers.add(filler);
                filler.connect(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), CONNECT_TIMEOUT_MS);
            }
            throw new IOException("the accept queue takes every connection");
        } catch (SocketTimeoutException queueFull) {
            fillers.get(fillers.size() - 1).close();
        }
    }

    /** Starts to accept connections and to read their messages. */
    void open() {
        Thread acceptor = new Thread(
                () -> {
                    try {
                        while (true) {
                            new TestConnection(listener.accept(), (connection, message) -> received.add(message));
                        }
                    } catch (IOException e) {
                        // Closed by the test.
                    }
                },
                "full-backlog-server");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket filler : fillers) {
            filler.close();
        }
    }
}
