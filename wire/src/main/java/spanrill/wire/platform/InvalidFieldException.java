package spanrill.wire.platform;

/** A field of a correctly framed message is missing or unusable; the message names the field and the reason. */
public final class InvalidFieldException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int cause;

    InvalidFieldException(int cause, String message) {
        super(message, null, false, false);
        this.cause = cause;
    }

    /** Returns the cause to release the set-up with, one of {@link Cause}. */
    public int releaseCause() {
        return cause;
    }
}
