package spanrill.wire.platform;

/** A message that is framed well has a field that can't be used; says which and why. */
public final class InvalidFieldException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int cause;

    InvalidFieldException(int cause, String message) {
        super(message, null, false, false);
        this.cause = cause;
    }

    /** The cause to release the set-up with. */
    public int releaseCause() {
        return cause;
    }
}
