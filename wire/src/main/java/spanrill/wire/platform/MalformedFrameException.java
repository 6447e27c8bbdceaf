package spanrill.wire.platform;

/** Bytes that are no message: nothing after them on the connection can be read. */
public final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        // No stack trace: hostile peers cause these by the thousand.
        super(message, null, false, false);
    }
}
