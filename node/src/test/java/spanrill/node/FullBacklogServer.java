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
 * A server to which connections don't come up until the test says so: its queue of connections is full of
 * the test's own, so the kernel lets whoever else comes wait and try again (after 1 s, then 2 s).
 */
final class FullBacklogServer implements AutoCloseable {
    final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    private static final int TRY_MS = 100;
    private final ServerSocket listening;
    private final List<Socket> fillers = new ArrayList<>();

    FullBacklogServer() throws IOException {
        listening = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        try {
            while (fillers.size() < 16) {
                Socket filler = new Socket();
                fillers.add(filler);
                filler.connect(new InetSocketAddress("127.0.0.1", listening.getLocalPort()), TRY_MS);
            }
            throw new IOException("its queue takes every connection");
        } catch (SocketTimeoutException full) {
            fillers.get(fillers.size() - 1).close();
        }
    }

    /** From now on whatever comes is accepted, and what it brings is read. */
    void open() {
        Thread accepting = new Thread(
                () -> {
                    try {
                        while (true) {
                            new TestConnection(listening.accept(), (wire, message) -> received.add(message));
                        }
                    } catch (IOException e) {
                        // Closed by the test.
                    }
                },
                "late-server");
        accepting.setDaemon(true);
        accepting.start();
    }

    int port() {
        return listening.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket filler : fillers) {
            filler.close();
        }
    }
}
