package spanrill.decisions;

/** Signals a state transition that is not allowed. The cause is a bug in the program, never its input. */
public final class IllegalTransitionException extends IllegalStateException {
    private static final long serialVersionUID = 1;

    /** Creates the exception with a message that names the transition. */
    public IllegalTransitionException(String message) {
        super(message);
    }
}
