package spanrill.decisions;

/** A transition that a rule forbids was asked for: a fault of the program, never of its input. */
public final class IllegalTransitionException extends IllegalStateException {
    private static final long serialVersionUID = 1;

    /** A fault with what was asked of what. */
    public IllegalTransitionException(String message) {
        super(message);
    }
}
