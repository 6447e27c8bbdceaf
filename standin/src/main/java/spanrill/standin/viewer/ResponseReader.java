package spanrill.standin.viewer;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.ResponseHead;

/** One request of a viewer whose answer is read whole; large bodies are counted, not kept. */
final class ResponseReader implements HttpClientConnection.Listener {
    private static final int KEPT_BYTES = 64 * 1024;

    private final Runnable onHead;
    private final BiConsumer<ResponseHead, ResponseReader> done;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final boolean keep;
    private ResponseHead head;
    private long bytes;
    private LongAdder counter;
    private boolean over;

    /**
     * A request.
     *
     * @param keep whether the body is kept
     * @param onHead called at the head
     * @param done called at the end, with null for the head when the answer was lost
     */
    ResponseReader(boolean keep, Runnable onHead, BiConsumer<ResponseHead, ResponseReader> done) {
        this.keep = keep;
        this.onHead = onHead;
        this.done = done;
    }

    static boolean get(HttpClientConnection connection, String target, ResponseReader link) {
        return connection.send("GET", target, Headers.of("host", "front"), new byte[0], link);
    }

    /** Adds each part to this count as it comes. */
    void countBytesIn(LongAdder received) {
        counter = received;
    }

    boolean isDone() {
        return over;
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

    void ignore() {
        over = true;
    }

    @Override
    public void onHead(ResponseHead answer) {
        head = answer;
        if (!over) {
            onHead.run();
        }
    }

    @Override
    public void onData(ByteBuf part) {
        bytes += part.readableBytes();
        if (counter != null) {
            counter.add(part.readableBytes());
        }
        if (keep && body.size() + part.readableBytes() <= KEPT_BYTES) {
            byte[] copy = new byte[part.readableBytes()];
            part.readBytes(copy);
            body.write(copy, 0, copy.length);
        }
    }

    @Override
    public void onEnd() {
        if (!over) {
            over = true;
            done.accept(head, this);
        }
    }

    @Override
    public void onFailure(HttpClientConnection.Failure loss, String reason) {
        if (!over) {
            over = true;
            done.accept(null, this);
        }
    }
}
