package spanrill.wire.platform;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * One message: type, session and parameters in their order. Built by the decoder, or by hand with {@link
 * #with}. Not safe for use by more than one thread.
 */
public final class Message {
    /** All that follows the length field: 16 KiB at most. */
    public static final int MAX_BYTES = 16 * 1024;
    /** Type and session. */
    static final int MIN_BYTES = 9;

    private static final int PARAMETER_HEAD = 3;

    private final MessageType type;
    private final long session;
    private int[] codes = new int[6];
    private byte[][] values = new byte[6][];
    private int count;
    private boolean repeated;

    /** Without parameters yet. */
    public Message(MessageType type, long session) {
        this.type = type;
        this.session = session;
    }

    /** Adds a parameter. */
    public Message with(int code, byte[] value) {
        repeated |= has(code);
        if (count == codes.length) {
            codes = Arrays.copyOf(codes, 2 * count);
            values = Arrays.copyOf(values, 2 * count);
        }
        codes[count] = code;
        values[count++] = value;
        return this;
    }

    /** Adds a parameter that is text; none where the text is null. */
    public Message with(int code, String text) {
        return text == null ? this : with(code, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Adds a cause. */
    public Message withCause(int cause) {
        return with(Parameter.CAUSE, new byte[] {(byte) cause});
    }

    /** What it is. */
    public MessageType type() {
        return type;
    }

    /** The session that it names. */
    public long session() {
        return session;
    }

    /** True when a parameter came twice. */
    public boolean hasDuplicateParameter() {
        return repeated;
    }

    /** True when it has such a parameter. */
    public boolean has(int code) {
        return get(code) != null;
    }

    /** Value of the first parameter with a code, or null. */
    public byte[] get(int code) {
        for (int i = 0; i < count; i++) {
            if (codes[i] == code) {
                return values[i];
            }
        }
        return null;
    }

    /** The same as text, or null. */
    public String text(int code) {
        byte[] value = get(code);
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    /** The cause, or -1 where there is none or it is not one byte. */
    public int cause() {
        byte[] value = get(Parameter.CAUSE);
        return value == null || value.length != 1 ? -1 : value[0] & 0xff;
    }

    /** Bytes on the wire, the length field included. */
    public int size() {
        int size = 2 + MIN_BYTES;
        for (int i = 0; i < count; i++) {
            size += PARAMETER_HEAD + values[i].length;
        }
        return size;
    }

    /**
     * Writes it.
     *
     * @throws IllegalStateException when it is longer than a message may be
     */
    public void write(ByteBuf out) {
        int size = size() - 2;
        if (size > MAX_BYTES) {
            throw new IllegalStateException("a message of " + size + " bytes");
        }
        out.writeShort(size).writeByte(type.code()).writeLong(session);
        for (int i = 0; i < count; i++) {
            out.writeByte(codes[i]).writeShort(values[i].length).writeBytes(values[i]);
        }
    }
}
