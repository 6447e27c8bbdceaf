package spanrill.wire.platform;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.BitSet;

/**
 * One message: type, session and parameters in the order in which they were added. The decoder builds received
 * messages; senders add parameters with {@link #with}. Not thread-safe.
 */
public final class Message {
    /** Maximum size of a message in bytes, without the length field. */
    public static final int MAX_BYTES = 16 * 1024;
    /** Minimum size of a message in bytes, without the length field: type and session. */
    static final int MIN_BYTES = 9;

    private static final int PARAMETER_HEADER_BYTES = 3;

    private final MessageType type;
    private final long session;
    private int[] codes = new int[6];
    private byte[][] values = new byte[6][];
    private int count;
    private final BitSet presentCodes = new BitSet();
    private boolean duplicateParameter;

    /** Creates a message without parameters. */
    public Message(MessageType type, long session) {
        this.type = type;
        this.session = session;
    }

    /** Adds a parameter. */
    public Message with(int code, byte[] value) {
        duplicateParameter |= presentCodes.get(code);
        presentCodes.set(code);
        if (count == codes.length) {
            codes = Arrays.copyOf(codes, 2 * count);
            values = Arrays.copyOf(values, 2 * count);
        }
        codes[count] = code;
        values[count++] = value;
        return this;
    }

    /** Adds a text parameter, encoded in UTF-8; a null text adds nothing. */
    public Message with(int code, String text) {
        return text == null ? this : with(code, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Adds a cause parameter. */
    public Message withCause(int cause) {
        return with(Parameter.CAUSE, new byte[] {(byte) cause});
    }

    /** Returns the type. */
    public MessageType type() {
        return type;
    }

    /** Returns the number of the session that the message concerns. */
    public long session() {
        return session;
    }

    /** Returns whether any parameter code occurs more than once. */
    public boolean hasDuplicateParameter() {
        return duplicateParameter;
    }

    /** Returns whether a parameter with the code is present. */
    public boolean has(int code) {
        return get(code) != null;
    }

    /** Returns the value of the first parameter with the code, or null. */
    public byte[] get(int code) {
        for (int i = 0; i < count; i++) {
            if (codes[i] == code) {
                return values[i];
            }
        }
        return null;
    }

    /** Returns the first parameter with the code as UTF-8 text, or null. */
    public String text(int code) {
        byte[] value = get(code);
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    /** Returns the cause, or -1 when it is absent or not exactly one byte. */
    public int cause() {
        byte[] value = get(Parameter.CAUSE);
        return value == null || value.length != 1 ? -1 : value[0] & 0xff;
    }

    /** Returns the encoded size in bytes, including the length field. */
    public int size() {
        int size = 2 + MIN_BYTES;
        for (int i = 0; i < count; i++) {
            size += PARAMETER_HEADER_BYTES + values[i].length;
        }
        return size;
    }

    /**
     * Encodes the message.
     *
     * @throws IllegalStateException when the message is longer than {@link #MAX_BYTES}
     */
    public void write(ByteBuf out) {
        int size = size() - 2;
        if (size > MAX_BYTES) {
            throw new IllegalStateException("message of " + size + " bytes exceeds the maximum length");
        }
        out.writeShort(size).writeByte(type.code()).writeLong(session);
        for (int i = 0; i < count; i++) {
            out.writeByte(codes[i]).writeShort(values[i].length).writeBytes(values[i]);
        }
    }
}
