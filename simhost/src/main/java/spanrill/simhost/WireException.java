package spanrill.simhost;

/** Malformed input: the message names what is wrong in plain words. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
