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

/** Writes messages to one channel in order, each at once or in fragments with pauses between them. */
final class PacedWriter {
    private static final int MAX_FRAGMENTS = 5;
    private static final int MAX_PAUSE_MS = 4;
    private static final Consumer<ChannelFuture> NO_CALLBACK = future -> {};

    /** Part of a message; the next fragment is written {@code pauseMs} after this one. */
    private record Fragment(byte[] bytes, int pauseMs, Consumer<ChannelFuture> onWritten) {}

    private final Channel channel;
    private final SplittableRandom random;
    private final ArrayDeque<Fragment> queue = new ArrayDeque<>();
    private boolean paused;

    PacedWriter(Channel channel, SplittableRandom random) {
        this.channel = channel;
        this.random = random;
    }

    /** Writes a message; {@code onWritten} receives the outcome of writing its last byte. */
    void write(Message message, boolean fragmented, Consumer<ChannelFuture> onWritten) {
        byte[] bytes = bytes(message);
        int count = fragmented ? 2 + random.nextInt(MAX_FRAGMENTS - 1) : 1;
        int start = 0;
        for (int i = 1; i < count; i++) {
            int end = Math.min(bytes.length - 1, start + 1 + random.nextInt(Math.max(1, 2 * bytes.length / count)));
            queue.add(
                    new Fragment(Arrays.copyOfRange(bytes, start, end), 1 + random.nextInt(MAX_PAUSE_MS), NO_CALLBACK));
            start = end;
        }
        queue.add(new Fragment(Arrays.copyOfRange(bytes, start, bytes.length), 0, onWritten));
        flush();
    }

    /** Writes a message without fragmentation. */
    void write(Message message) {
        write(message, false, NO_CALLBACK);
    }

    /** Writes bytes that are not a message, after all writes queued before. */
    void writeRaw(byte[] bytes) {
        queue.add(new Fragment(bytes, 0, NO_CALLBACK));
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
        while (!paused && !queue.isEmpty()) {
            Fragment next = queue.poll();
            ChannelFuture written = channel.writeAndFlush(Unpooled.wrappedBuffer(next.bytes()));
            written.addListener(f -> next.onWritten().accept(written));
            if (next.pauseMs() > 0) {
                paused = true;
                channel.eventLoop().schedule(this::resume, next.pauseMs(), TimeUnit.MILLISECONDS);
            }
        }
    }

    private void resume() {
        paused = false;
        flush();
    }
}
