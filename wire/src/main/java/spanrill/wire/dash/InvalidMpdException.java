package spanrill.wire.dash;

/** A text that is no MPD of the sort this program reads, with the line and the reason. */
public final class InvalidMpdException extends Exception {
    private static final long serialVersionUID = 1;

    /** A fault at a line; 0 when it has none. */
    public InvalidMpdException(int line, String reason) {
        super((line > 0 ? "line " + line + ": " : "") + reason, null, false, false);
    }
}
