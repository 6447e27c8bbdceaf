package spanrill.standin.box;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Media bytes that anyone can compute anew: a block of noise, read from a place that the segment's name
 * gives.
 */
public final class MediaBytes {
    /** Length of every initialization segment. */
    public static final int INIT_BYTES = 640;

    private static final int BLOCK = 1 << 18;
    private static final ByteBuf NOISE = noise();

    private MediaBytes() {}

    private static ByteBuf noise() {
        byte[] bytes = new byte[BLOCK * 2];
        long x = 0x5DEECE66DL;
        for (int i = 0; i < BLOCK; i++) {
            x ^= x << 13;
            x ^= x >>> 7;
            x ^= x << 17;
            bytes[i] = (byte) x;
            bytes[i + BLOCK] = (byte) x;
        }
        return Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(bytes).asReadOnly());
    }

    /** Part of a segment, of at most 256 KiB; shares memory. */
    public static ByteBuf slice(String segment, long from, int bytes) {
        int start = (int) Math.floorMod(segment.hashCode() + from, (long) BLOCK);
        return NOISE.retainedSlice(start, Math.min(bytes, BLOCK));
    }
}
