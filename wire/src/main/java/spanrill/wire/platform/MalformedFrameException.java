package spanrill.wire.platform;

/** Bytes that cannot be framed as a message; the rest of the stream cannot be decoded after them. */
public final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        // No stack trace: hostile peers can trigger thousands of these.
        super(message, null, false, false);
    }
}
