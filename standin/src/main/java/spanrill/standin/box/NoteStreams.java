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

/** The open note streams of one box, at most one per front. */
final class NoteStreams {
    private final EventLoop loop;
    private final Map<Integer, Exchange> streams = new HashMap<>();

    NoteStreams(EventLoop loop) {
        this.loop = loop;
    }

    /** Opens a front's stream. The first note carries the start time of the box's process, which identifies it. */
    void open(Exchange exchange, long processStartMs) {
        String front = String.valueOf(exchange.head().headers().get(BoxLink.FRONT));
        if (!front.matches("\\d{1,6}")) {
            exchange.respond(400, new Headers(), new byte[0]);
            return;
        }
        exchange.start(200, Headers.of("content-type", "text/tab-separated-values"), -1);
        streams.put(Integer.parseInt(front), exchange);
        send(Integer.parseInt(front), new Note(Note.Kind.HELLO, "", processStartMs));
    }

    /** Sends a note at once. The note is dropped when the front has no open stream or does not read it fast enough. */
    void send(int front, Note note) {
        Exchange exchange = streams.get(front);
        if (exchange != null && !exchange.isEnded() && exchange.isWritable()) {
            exchange.write(Unpooled.wrappedBuffer(note.format().getBytes(StandardCharsets.US_ASCII)));
        }
    }

    /** Sends notes after a delay in ms, provided that the condition holds at that time. */
    void sendDelayed(double delayMs, BooleanSupplier condition, int front, Note... notes) {
        loop.schedule(
                () -> {
                    if (condition.getAsBoolean()) {
                        for (Note note : notes) {
                            send(front, note);
                        }
                    }
                },
                (long) delayMs,
                TimeUnit.MILLISECONDS);
    }

    /** Removes streams that have ended. */
    void removeEnded() {
        streams.values().removeIf(Exchange::isEnded);
    }

    /** Removes all streams, after the box's process died. */
    void clear() {
        streams.clear();
    }
}
