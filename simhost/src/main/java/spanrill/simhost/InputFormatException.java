package spanrill.simhost;

/** Malformed input. The message names the line and the problem. */
final class InputFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InputFormatException(String message) {
        super(message);
    }
}
