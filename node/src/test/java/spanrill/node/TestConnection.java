package spanrill.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import spanrill.wire.platform.MalformedFrameException;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageDecoder;

/**
 * One end of a connection in the platform's protocol, for tests. Writes block; a thread of its own reads.
 */
final class TestConnection implements AutoCloseable {
    private final Socket socket;
    private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> ends = new LinkedBlockingQueue<>();
    private volatile Runnable beforeClose = () -> {};

    /** Reads until the end; {@code onMessage} gets each message first, on the reader's thread. */
    TestConnection(Socket socket, BiConsumer<TestConnection, Message> onMessage) {
        this.socket = socket;
        Thread reader = new Thread(() -> readUntilEnd(onMessage), "wire");
        reader.setDaemon(true);
        reader.start();
    }

    static TestConnection connect(int port) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        return new TestConnection(socket, (connection, message) -> {});
    }

    /** Connects with a receive buffer of {@code buffer} bytes and reads nothing before {@link #startReading}. */
    static TestConnection connectWithoutReading(int port, int buffer) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(buffer);
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setTcpNoDelay(true);
        return new TestConnection(socket);
    }

    /** True when a connection to the port is refused. */
    static boolean isConnectionRefused(int port) throws IOException {
        try {
            new Socket("127.0.0.1", port).close();
            return false;
        } catch (ConnectException e) {
            return true;
        }
    }

    private TestConnection(Socket socket) {
        this.socket = socket;
    }

    /** Starts the reader. */
    void startReading() {
        Thread reader = new Thread(() -> readUntilEnd((connection, message) -> {}), "wire");
        reader.setDaemon(true);
        reader.start();
    }

    private void readUntilEnd(BiConsumer<TestConnection, Message> onMessage) {
        MessageDecoder decoder = new MessageDecoder();
        byte[] buffer = new byte[4096];
        try {
            for (int length = socket.getInputStream().read(buffer);
                    length >= 0;
                    length = socket.getInputStream().read(buffer)) {
                decoder.feed(Unpooled.wrappedBuffer(buffer, 0, length), message -> {
                    onMessage.accept(this, message);
                    return received.add(message);
                });
            }
            // Clients and servers usually close when the other side has closed.
            beforeClose.run();
            socket.close();
            ends.add("closed");
        } catch (IOException | MalformedFrameException e) {
            ends.add("reset");
        }
    }

    /** Sets an action that runs when the other side has closed the connection, before this side closes it. */
    void beforeClose(Runnable action) {
        beforeClose = action;
    }

    void send(Message message) {
        ByteBuf out = Unpooled.buffer();
        message.write(out);
        sendRaw(ByteBufUtil.getBytes(out));
    }

    void sendRaw(byte[] bytes) {
        try {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        } catch (IOException e) {
            // The test notices it by the missing response.
        }
    }

    /** The next message, or null when none arrives in time. */
    Message awaitMessage(long ms) throws InterruptedException {
        return received.poll(ms, TimeUnit.MILLISECONDS);
    }

    /** True when the other side ends the connection in time. */
    boolean awaitEnd(long ms) throws InterruptedException {
        String end = ends.poll(ms, TimeUnit.MILLISECONDS);
        if (end != null) {
            ends.add(end);
        }
        return end != null;
    }

    /** Ends the connection with a reset. */
    void reset() {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The connection has ended in either case.
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection has ended in either case.
        }
    }
}
