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
 * A box without a link: every set-up runs at once, every segment comes as fast as it is read. For
 * measuring.
 */
public final class UnshapedBox {
    private static final int PART = 64 * 1024;
    private final Channel server;
    private final long segmentBytes;
    private final Map<String, String> lastAttempt = new HashMap<>();

    /** Listens on a port that the system picks. */
    public UnshapedBox(EventLoop loop, long segmentBytes) throws IOException {
        this.segmentBytes = segmentBytes;
        server = LoopbackServer.listen(loop, 0, channel -> {}, this::route);
    }

    /** Its port. */
    public int port() {
        return LoopbackServer.port(server);
    }

    private void route(Exchange exchange) {
        String path = exchange.head().path();
        if (path.equals(BoxLink.SETUP_PATH)) {
            lastAttempt.put(front(exchange), exchange.head().headers().get(BoxLink.ATTEMPT_KEY));
            exchange.respond(
                    200, Headers.of(BoxLink.LOAD, "inflight=1;x0=0.1;x1=0.1"), new byte[MediaBytes.INIT_BYTES]);
        } else if (path.equals(BoxLink.NOTES_PATH)) {
            exchange.start(200, new Headers(), -1);
            exchange.write(Unpooled.copiedBuffer("hello\t\t1\n", StandardCharsets.US_ASCII));
            tell(exchange, front(exchange));
        } else if (exchange.head().method().equals("GET")) {
            pump(exchange, path.endsWith("init.mp4") ? MediaBytes.INIT_BYTES : segmentBytes);
        } else {
            exchange.respond(204, new Headers(), new byte[0]);
        }
    }

    private static String front(Exchange exchange) {
        return String.valueOf(exchange.head().headers().get(BoxLink.FRONT));
    }

    /** Tells each second, on the last attempt of the front, that link and uplink are nearly free. */
    private void tell(Exchange notes, String front) {
        notes.channel()
                .eventLoop()
                .schedule(
                        () -> {
                            if (notes.isEnded()) {
                                return;
                            }
                            String key = lastAttempt.get(front);
                            if (key != null) {
                                String lines = new Note(Note.Kind.LINK, key, 0.1).format()
                                        + new Note(Note.Kind.UPLINK, key, 0.1).format();
                                notes.write(Unpooled.copiedBuffer(lines, StandardCharsets.US_ASCII));
                            }
                            tell(notes, front);
                        },
                        1,
                        TimeUnit.SECONDS);
    }

    private static void pump(Exchange exchange, long bytes) {
        exchange.start(200, Headers.of("content-type", "video/mp4"), bytes);
        long[] left = {bytes};
        Runnable more = () -> {
            while (left[0] > 0 && exchange.isWritable() && !exchange.isEnded()) {
                int part = (int) Math.min(PART, left[0]);
                exchange.write(MediaBytes.slice("pump", bytes - left[0], part));
                left[0] -= part;
            }
            if (left[0] == 0) {
                left[0] = -1;
                exchange.end();
            }
        };
        exchange.onWritable(more);
        more.run();
    }

    /** Stops. */
    public void close() {
        server.close();
    }
}
