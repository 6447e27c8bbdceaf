package spanrill.standin.viewer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;
import spanrill.wire.http.ResponseHead;

/** Reads one path over and over on one connection, as fast as it comes. For measuring. */
public final class SegmentReader implements HttpClientConnection.Listener {
    private final String target;
    private final LongAdder bytes;
    private final Consumer<String> fault;
    private HttpClientConnection connection;
    private volatile boolean stopped;

    /** Reads a path; bytes are added up, an answer other than 200 is told. */
    public SegmentReader(String target, LongAdder bytes, Consumer<String> fault) {
        this.target = target;
        this.bytes = bytes;
        this.fault = fault;
    }

    /** Begins. */
    public void start(EventLoop loop, int port) {
        HttpClientConnection.open(
                loop,
                new InetSocketAddress("127.0.0.1", port),
                2000,
                HttpLimits.CLIENT,
                opened -> {
                    connection = opened;
                    next();
                },
                cause -> fault.accept(cause.toString()));
    }

    /** Stops after the answer at hand. */
    public void stop() {
        stopped = true;
    }

    private void next() {
        if (stopped || !connection.send("GET", target, Headers.of("host", "x"), new byte[0], this)) {
            connection.abort();
        }
    }

    @Override
    public void onHead(ResponseHead head) {
        if (head.status() != 200) {
            fault.accept("answered " + head.status());
        }
    }

    @Override
    public void onData(ByteBuf part) {
        bytes.add(part.readableBytes());
    }

    @Override
    public void onEnd() {
        next();
    }

    @Override
    public void onFailure(HttpClientConnection.Failure loss, String reason) {
        if (!stopped) {
            fault.accept(loss + ": " + reason);
        }
    }
}
