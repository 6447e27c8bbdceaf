package spanrill.standin.box;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import spanrill.wire.box.BoxLink;
import spanrill.wire.box.Note;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/** The notes streams of one box, one for each front that asked. */
final class NoteStreams {
    private final EventLoop loop;
    private final Map<Integer, Exchange> streams = new HashMap<>();

    NoteStreams(EventLoop loop) {
        this.loop = loop;
    }

    /** A front opens its stream; the first line tells which process answers. */
    void open(Exchange exchange, long process) {
        String front = String.valueOf(exchange.head().headers().get(BoxLink.FRONT));
        if (!front.matches("\\d{1,6}")) {
            exchange.respond(400, new Headers(), new byte[0]);
            return;
        }
        exchange.start(200, Headers.of("content-type", "text/tab-separated-values"), -1);
        streams.put(Integer.parseInt(front), exchange);
        send(Integer.parseInt(front), new Note(Note.Kind.HELLO, "", process));
    }

    /** Tells now. A front that doesn't read its notes misses them. */
    void send(int front, Note note) {
        Exchange exchange = streams.get(front);
        if (exchange != null && !exchange.isEnded() && exchange.isWritable()) {
            exchange.write(Unpooled.wrappedBuffer(note.format().getBytes(StandardCharsets.US_ASCII)));
        }
    }

    /** Tells after a time, if that may still be told then. */
    void sendDelayed(double ms, BooleanSupplier still, int front, Note... notes) {
        loop.schedule(
                () -> {
                    if (still.getAsBoolean()) {
                        for (Note note : notes) {
                            send(front, note);
                        }
                    }
                },
                (long) ms,
                TimeUnit.MILLISECONDS);
    }

    /** Forgets streams that have ended. */
    void removeEnded() {
        streams.values().removeIf(Exchange::isEnded);
    }

    /** The process died. */
    void clear() {
        streams.clear();
    }
}
