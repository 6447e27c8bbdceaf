package spanrill.wire.platform;

import io.netty.buffer.ByteBuf;

/**
 * Reads messages from whatever pieces a stream comes in. It keeps at most one message that is not complete;
 * its room grows with the bytes that came, not with the length that the sender states.
 */
public final class MessageDecoder {
    private ByteBuf kept;

    /** Takes the messages of a read, one by one. */
    public interface Sink {
        /** A whole message; false: read no further, the connection is done with. */
        boolean onMessage(Message message);
    }

    /**
     * Reads all that is complete. The buffer stays the caller's.
     *
     * @throws MalformedFrameException when what comes is no message; the decoder is of no further use then
     */
    public void feed(ByteBuf in, Sink sink) {
        if (kept != null && kept.isReadable()) {
            while (in.isReadable() && kept.isReadable()) {
                // No more is taken over than the message at hand needs, so that nothing is copied twice.
                int want = kept.readableBytes() < 2 ? 2 : 2 + length(kept);
                int take = Math.min(in.readableBytes(), want - kept.readableBytes());
                kept.writeBytes(in, take);
                if (!read(kept, sink)) {
                    return;
                }
                if (!kept.isReadable()) {
                    release();
                    break;
                }
            }
            if (kept != null) {
                return;
            }
        }
        while (in.isReadable()) {
            int before = in.readerIndex();
            if (!read(in, sink)) {
                return;
            }
            if (in.readerIndex() == before) {
                kept = in.alloc().heapBuffer(Math.max(64, in.readableBytes()));
                kept.writeBytes(in);
            }
        }
    }

    /** True when a message has begun and is not complete. */
    public boolean hasPartialMessage() {
        return kept != null && kept.isReadable();
    }

    /** Lets go of what it keeps. */
    public void release() {
        if (kept != null) {
            kept.release();
            kept = null;
        }
    }

    private static int length(ByteBuf in) {
        int length = in.getUnsignedShort(in.readerIndex());
        if (length < Message.MIN_BYTES || length > Message.MAX_BYTES) {
            throw new MalformedFrameException("a message of " + length + " bytes");
        }
        return length;
    }

    /** Reads one message where it is whole; false when the sink has enough. */
    private static boolean read(ByteBuf in, Sink sink) {
        if (in.readableBytes() < 2) {
            return true;
        }
        int length = length(in);
        if (in.readableBytes() < 2 + length) {
            return true;
        }
        in.skipBytes(2);
        int end = in.readerIndex() + length;
        Message message = new Message(MessageType.of(in.readUnsignedByte()), in.readLong());
        while (in.readerIndex() < end) {
            int left = end - in.readerIndex();
            if (left < 3) {
                throw new MalformedFrameException("a parameter cut short");
            }
            int code = in.readUnsignedByte();
            int bytes = in.readUnsignedShort();
            if (bytes > left - 3) {
                throw new MalformedFrameException("parameter " + code + " of " + bytes + " bytes does not fit");
            }
            byte[] value = new byte[bytes];
            in.readBytes(value);
            message.with(code, value);
        }
        return sink.onMessage(message);
    }
}
