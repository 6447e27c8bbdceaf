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

/** Requests one path repeatedly on one connection, as fast as responses arrive. For throughput measurements. */
public final class SegmentReader implements HttpClientConnection.Listener {
    private final String target;
    private final LongAdder receivedBytes;
    private final Consumer<String> onFault;
    private HttpClientConnection connection;
    private volatile boolean stopped;

    /**
     * Creates a reader of one path.
     *
     * @param target the path
     * @param receivedBytes counts the body bytes
     * @param onFault called with the cause when the connection fails or a response has a status other than 200
     */
    public SegmentReader(String target, LongAdder receivedBytes, Consumer<String> onFault) {
        this.target = target;
        this.receivedBytes = receivedBytes;
        this.onFault = onFault;
    }

    /** Connects to a port of the loopback interface and sends the first request. */
    public void start(EventLoop loop, int port) {
        HttpClientConnection.open(
                loop,
                new InetSocketAddress("127.0.0.1", port),
                2000,
                HttpLimits.CLIENT,
                opened -> {
                    connection = opened;
                    requestNext();
                },
                cause -> onFault.accept(cause.toString()));
    }

    /** Stops after the current response. */
    public void stop() {
        stopped = true;
    }

    private void requestNext() {
        if (stopped || !connection.send("GET", target, Headers.of("host", "x"), new byte[0], this)) {
            connection.abort();
        }
    }

    @Override
    public void onHead(ResponseHead head) {
        if (head.status() != 200) {
            onFault.accept("answered " + head.status());
        }
    }

    @Override
    public void onData(ByteBuf part) {
        receivedBytes.add(part.readableBytes());
    }

    @Override
    public void onEnd() {
        requestNext();
    }

    @Override
    public void onFailure(HttpClientConnection.Failure loss, String reason) {
        if (!stopped) {
            onFault.accept(loss + ": " + reason);
        }
    }
}
