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
 * One end of a connection that speaks the platform's protocol, for tests: blocking, with a reader of its
 * own.
 */
final class TestConnection implements AutoCloseable {
    private final Socket socket;
    private final BlockingQueue<Message> read = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> ended = new LinkedBlockingQueue<>();
    private volatile Runnable beforeClose = () -> {};

    /** Reads until the end; {@code heard} takes each message first, on the reader's thread. */
    TestConnection(Socket socket, BiConsumer<TestConnection, Message> heard) {
        this.socket = socket;
        Thread reader = new Thread(() -> run(heard), "wire");
        reader.setDaemon(true);
        reader.start();
    }

    static TestConnection connect(int port) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        return new TestConnection(socket, (wire, message) -> {});
    }

    /** One that reads nothing until it is told to, with a small buffer for what comes. */
    static TestConnection connectWithoutReading(int port, int buffer) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(buffer);
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setTcpNoDelay(true);
        return new TestConnection(socket);
    }

    /** True when no connection can be had there. */
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

    /** Reads from now on. */
    void startReading() {
        Thread reader = new Thread(() -> run((wire, message) -> {}), "wire");
        reader.setDaemon(true);
        reader.start();
    }

    private void run(BiConsumer<TestConnection, Message> heard) {
        MessageDecoder decoder = new MessageDecoder();
        byte[] part = new byte[4096];
        try {
            for (int n = socket.getInputStream().read(part);
                    n >= 0;
                    n = socket.getInputStream().read(part)) {
                decoder.feed(Unpooled.wrappedBuffer(part, 0, n), message -> {
                    heard.accept(this, message);
                    return read.add(message);
                });
            }
            // As usual clients and servers do when the other side is done.
            beforeClose.run();
            socket.close();
            ended.add("closed");
        } catch (IOException | MalformedFrameException e) {
            ended.add("reset");
        }
    }

    /** Runs when the other side has ended the connection, before this side closes it too. */
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
            // The test sees it by what does not come back.
        }
    }

    /** The next message, or null when none came in time. */
    Message awaitMessage(long ms) throws InterruptedException {
        return read.poll(ms, TimeUnit.MILLISECONDS);
    }

    /** True when the other side ended the connection in time. */
    boolean awaitEnd(long ms) throws InterruptedException {
        String end = ended.poll(ms, TimeUnit.MILLISECONDS);
        if (end != null) {
            ended.add(end);
        }
        return end != null;
    }

    /** Ends it with a reset. */
    void reset() {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is over either way.
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is over either way.
        }
    }
}
