package spanrill.standin.viewer;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.ResponseHead;

/** Reads the complete response to one request of a viewer. Bodies may be counted only, instead of kept. */
final class ResponseReader implements HttpClientConnection.Listener {
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final Runnable onHead;
    private final BiConsumer<ResponseHead, ResponseReader> onDone;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final boolean keepBody;
    private ResponseHead head;
    private long bytes;
    private LongAdder byteCounter;
    private boolean finished;

    /**
     * Creates a reader for one response.
     *
     * @param keepBody whether the body is kept, up to 64 KiB
     * @param onHead called when the head of the response arrives
     * @param onDone called at the end, with null for the head when the connection was lost
     */
    ResponseReader(boolean keepBody, Runnable onHead, BiConsumer<ResponseHead, ResponseReader> onDone) {
        this.keepBody = keepBody;
        this.onHead = onHead;
        this.onDone = onDone;
    }

    static boolean get(HttpClientConnection connection, String target, ResponseReader reader) {
        return connection.send("GET", target, Headers.of("host", "front"), new byte[0], reader);
    }

    /** Adds the size of each body part to a counter as the part arrives. */
    void countBytesIn(LongAdder target) {
        byteCounter = target;
    }

    boolean isDone() {
        return finished;
    }

    ResponseHead head() {
        return head;
    }

    long bytes() {
        return bytes;
    }

    String text() {
        return body.toString(StandardCharsets.UTF_8);
    }

    /** Prevents all further callbacks for this response. Its remaining bytes are still counted. */
    void suppressCallbacks() {
        finished = true;
    }

    @Override
    public void onHead(ResponseHead received) {
        head = received;
        if (!finished) {
            onHead.run();
        }
    }

    @Override
    public void onData(ByteBuf part) {
        bytes += part.readableBytes();
        if (byteCounter != null) {
            byteCounter.add(part.readableBytes());
        }
        if (keepBody && body.size() + part.readableBytes() <= MAX_BODY_BYTES) {
            byte[] copy = new byte[part.readableBytes()];
            part.readBytes(copy);
            body.write(copy, 0, copy.length);
        }
    }

    @Override
    public void onEnd() {
        if (!finished) {
            finished = true;
            onDone.accept(head, this);
        }
    }

    @Override
    public void onFailure(HttpClientConnection.Failure loss, String reason) {
        if (!finished) {
            finished = true;
            onDone.accept(null, this);
        }
    }
}
