package spanrill.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import spanrill.wire.platform.Message;

/** Writes messages to one channel in order, whole or in pieces with pauses between them. */
final class PacedWriter {
    private static final int MOST_PIECES = 5;
    private static final int MOST_PAUSE_MS = 4;
    private static final Consumer<ChannelFuture> NOTHING = future -> {};

    /** A part of a message; {@code pauseMs} before the next. */
    private record Piece(byte[] bytes, int pauseMs, Consumer<ChannelFuture> done) {}

    private final Channel channel;
    private final SplittableRandom random;
    private final ArrayDeque<Piece> waiting = new ArrayDeque<>();
    private boolean pausing;

    PacedWriter(Channel channel, SplittableRandom random) {
        this.channel = channel;
        this.random = random;
    }

    /** Writes a message; {@code done} takes the outcome of its last byte. */
    void write(Message message, boolean inPieces, Consumer<ChannelFuture> done) {
        byte[] bytes = bytes(message);
        int pieces = inPieces ? 2 + random.nextInt(MOST_PIECES - 1) : 1;
        int from = 0;
        for (int i = 1; i < pieces; i++) {
            int to = Math.min(bytes.length - 1, from + 1 + random.nextInt(Math.max(1, 2 * bytes.length / pieces)));
            waiting.add(new Piece(Arrays.copyOfRange(bytes, from, to), 1 + random.nextInt(MOST_PAUSE_MS), NOTHING));
            from = to;
        }
        waiting.add(new Piece(Arrays.copyOfRange(bytes, from, bytes.length), 0, done));
        flush();
    }

    /** Writes a message whole. */
    void write(Message message) {
        write(message, false, NOTHING);
    }

    /** Writes bytes that are no message, in their turn. */
    void writeRaw(byte[] bytes) {
        waiting.add(new Piece(bytes, 0, NOTHING));
        flush();
    }

    private static byte[] bytes(Message message) {
        ByteBuf out = Unpooled.buffer(message.size());
        message.write(out);
        byte[] bytes = new byte[out.readableBytes()];
        out.readBytes(bytes);
        return bytes;
    }

    private void flush() {
        while (!pausing && !waiting.isEmpty()) {
            Piece next = waiting.poll();
            ChannelFuture written = channel.writeAndFlush(Unpooled.wrappedBuffer(next.bytes()));
            written.addListener(f -> next.done().accept(written));
            if (next.pauseMs() > 0) {
                pausing = true;
                channel.eventLoop().schedule(this::resume, next.pauseMs(), TimeUnit.MILLISECONDS);
            }
        }
    }

    private void resume() {
        pausing = false;
        flush();
    }
}
