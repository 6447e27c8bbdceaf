package spanrill.wire.platform;

import io.netty.buffer.ByteBuf;

/**
 * Decodes messages from a stream that arrives in fragments of any size. The decoder buffers at most one incomplete
 * message; the buffer grows with the bytes received, not with the length that the sender declares.
 */
public final class MessageDecoder {
    private ByteBuf partial;

    /** Receives the decoded messages one by one. */
    public interface Sink {
        /** Handles a complete message; returns false to stop decoding because the connection is no longer used. */
        boolean onMessage(Message message);
    }

    /**
     * Decodes every complete message and buffers the rest. The caller keeps ownership of {@code in}.
     *
     * @throws MalformedFrameException when the bytes are not a valid message; the decoder must not be used afterwards
     */
    public void feed(ByteBuf in, Sink sink) {
        if (partial != null && partial.isReadable()) {
            while (in.isReadable() && partial.isReadable()) {
                // Copies no more bytes than the buffered message needs, so that no byte is copied twice.
                int needed = partial.readableBytes() < 2 ? 2 : 2 + peekLength(partial);
                int copied = Math.min(in.readableBytes(), needed - partial.readableBytes());
                partial.writeBytes(in, copied);
                if (!decodeNext(partial, sink)) {
                    return;
                }
                if (!partial.isReadable()) {
                    release();
                    break;
                }
            }
            if (partial != null) {
                return;
            }
        }
        while (in.isReadable()) {
            int startIndex = in.readerIndex();
            if (!decodeNext(in, sink)) {
                return;
            }
            if (in.readerIndex() == startIndex) {
                partial = in.alloc().heapBuffer(Math.max(64, in.readableBytes()));
                partial.writeBytes(in);
            }
        }
    }

    /** Returns whether part of a message is buffered. */
    public boolean hasPartialMessage() {
        return partial != null && partial.isReadable();
    }

    /** Releases the buffer of an incomplete message. */
    public void release() {
        if (partial != null) {
            partial.release();
            partial = null;
        }
    }

    private static int peekLength(ByteBuf in) {
        int length = in.getUnsignedShort(in.readerIndex());
        if (length < Message.MIN_BYTES || length > Message.MAX_BYTES) {
            throw new MalformedFrameException("message length " + length + " is out of range");
        }
        return length;
    }

    /** Decodes one message if it is complete; returns false when the sink asks to stop. */
    private static boolean decodeNext(ByteBuf in, Sink sink) {
        if (in.readableBytes() < 2) {
            return true;
        }
        int length = peekLength(in);
        if (in.readableBytes() < 2 + length) {
            return true;
        }
        in.skipBytes(2);
        int end = in.readerIndex() + length;
        Message message = new Message(MessageType.of(in.readUnsignedByte()), in.readLong());
        while (in.readerIndex() < end) {
            int remaining = end - in.readerIndex();
            if (remaining < 3) {
                throw new MalformedFrameException("a parameter header is truncated");
            }
            int code = in.readUnsignedByte();
            int valueBytes = in.readUnsignedShort();
            if (valueBytes > remaining - 3) {
                throw new MalformedFrameException(
                        "parameter " + code + " of " + valueBytes + " bytes exceeds its message");
            }
            byte[] value = new byte[valueBytes];
            in.readBytes(value);
            message.with(code, value);
        }
        return sink.onMessage(message);
    }
}
