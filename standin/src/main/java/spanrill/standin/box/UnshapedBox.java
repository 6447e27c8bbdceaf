package spanrill.standin.box;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import spanrill.standin.LoopbackServer;
import spanrill.wire.box.BoxLink;
import spanrill.wire.box.Note;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/**
 * A box without link limits, for throughput measurements: every set-up succeeds at once and segments are sent as
 * fast as the peer reads them.
 */
public final class UnshapedBox {
    private static final int MAX_WRITE_BYTES = 64 * 1024;
    private final Channel server;
    private final long segmentBytes;
    private final Map<String, String> lastAttempt = new HashMap<>();

    /** Starts a box that listens on a port picked by the system; every media segment has the given length. */
    public UnshapedBox(EventLoop loop, long segmentBytes) throws IOException {
        this.segmentBytes = segmentBytes;
        server = LoopbackServer.listen(loop, 0, channel -> {}, this::route);
    }

    /** Returns the port that the box listens on. */
    public int port() {
        return LoopbackServer.port(server);
    }

    private void route(Exchange exchange) {
        String path = exchange.head().path();
        if (path.equals(BoxLink.SETUP_PATH)) {
            lastAttempt.put(frontOf(exchange), exchange.head().headers().get(BoxLink.ATTEMPT_KEY));
            exchange.respond(
                    200, Headers.of(BoxLink.LOAD, "inflight=1;x0=0.1;x1=0.1"), new byte[MediaBytes.INIT_BYTES]);
        } else if (path.equals(BoxLink.NOTES_PATH)) {
            exchange.start(200, new Headers(), -1);
            exchange.write(Unpooled.copiedBuffer("hello\t\t1\n", StandardCharsets.US_ASCII));
            sendNotesEachSecond(exchange, frontOf(exchange));
        } else if (exchange.head().method().equals("GET")) {
            sendBytes(exchange, path.endsWith("init.mp4") ? MediaBytes.INIT_BYTES : segmentBytes);
        } else {
            exchange.respond(204, new Headers(), new byte[0]);
        }
    }

    private static String frontOf(Exchange exchange) {
        return String.valueOf(exchange.head().headers().get(BoxLink.FRONT));
    }

    /**
     * Sends one link note and one uplink note each second, for the attempt that the front started most recently. The
     * use is always 0.1: this box has no link limits against which a use could be measured.
     */
    private void sendNotesEachSecond(Exchange stream, String front) {
        stream.channel()
                .eventLoop()
                .schedule(
                        () -> {
                            if (stream.isEnded()) {
                                return;
                            }
                            String key = lastAttempt.get(front);
                            if (key != null) {
                                String lines = new Note(Note.Kind.LINK, key, 0.1).format()
                                        + new Note(Note.Kind.UPLINK, key, 0.1).format();
                                stream.write(Unpooled.copiedBuffer(lines, StandardCharsets.US_ASCII));
                            }
                            sendNotesEachSecond(stream, front);
                        },
                        1,
                        TimeUnit.SECONDS);
    }

    private static void sendBytes(Exchange exchange, long bytes) {
        exchange.start(200, Headers.of("content-type", "video/mp4"), bytes);
        long[] remaining = {bytes};
        Runnable writeMore = () -> {
            while (remaining[0] > 0 && exchange.isWritable() && !exchange.isEnded()) {
                int size = (int) Math.min(MAX_WRITE_BYTES, remaining[0]);
                exchange.write(MediaBytes.slice("pump", bytes - remaining[0], size));
                remaining[0] -= size;
            }
            if (remaining[0] == 0) {
                remaining[0] = -1;
                exchange.end();
            }
        };
        exchange.onWritable(writeMore);
        writeMore.run();
    }

    /** Closes the listening port. */
    public void close() {
        server.close();
    }
}
