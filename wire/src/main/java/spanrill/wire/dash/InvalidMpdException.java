package spanrill.wire.dash;

/** A text is not an MPD that this program supports; the message names the line and the reason. */
public final class InvalidMpdException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception for a line, counted from 1; 0 means that the fault concerns no single line. */
    public InvalidMpdException(int line, String reason) {
        super((line > 0 ? "line " + line + ": " : "") + reason, null, false, false);
    }
}
