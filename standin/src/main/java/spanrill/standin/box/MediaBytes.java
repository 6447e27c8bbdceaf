package spanrill.standin.box;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Reproducible media bytes: a fixed block of pseudo-random bytes, read from an offset that depends on the name
 * of the segment.
 */
public final class MediaBytes {
    /** Length of every initialization segment. */
    public static final int INIT_BYTES = 640;

    private static final int BLOCK_BYTES = 1 << 18;
    private static final ByteBuf NOISE = createNoise();

    private MediaBytes() {}

    private static ByteBuf createNoise() {
        byte[] bytes = new byte[BLOCK_BYTES * 2];
        long state = 0x5DEECE66DL;
        for (int i = 0; i < BLOCK_BYTES; i++) {
            state ^= state << 13;
            state ^= state >>> 7;
            state ^= state << 17;
            bytes[i] = (byte) state;
            bytes[i + BLOCK_BYTES] = (byte) state;
        }
        return Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(bytes).asReadOnly());
    }

    /** Returns a part of a segment, of at most 256 KiB. The buffer shares its memory with others. */
    public static ByteBuf slice(String segment, long from, int bytes) {
        int start = (int) Math.floorMod(segment.hashCode() + from, (long) BLOCK_BYTES);
        return NOISE.retainedSlice(start, Math.min(bytes, BLOCK_BYTES));
    }
}
