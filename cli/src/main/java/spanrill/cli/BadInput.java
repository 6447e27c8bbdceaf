package spanrill.cli;

/** Input of a command that can't be used; the message has the place and the reason. */
final class BadInput extends Exception {
    private static final long serialVersionUID = 1;

    BadInput(String message) {
        super(message);
    }
}
