package spanrill.wire.platform;

/** Parameter codes. Values are UTF-8 text, except for the cause (one byte) and the description (any bytes). */
public final class Parameter {
    /** Session class. */
    public static final int CLASS = 1;
    /** How long the sender waits for the answer, in ms. */
    public static final int WAIT = 2;
    /** Title, 16 hex digits. */
    public static final int TITLE = 5;
    /** Attributes of the request and its viewer, see {@link RequestAttributes}. */
    public static final int ATTRIBUTES = 6;
    /** Minimum delay before a retry after a refusal, in ms. */
    public static final int RETRY_AFTER = 7;
    /** Kind of note. */
    public static final int NOTE_KIND = 8;
    /** Load report, see {@link LoadReport}. */
    public static final int LOAD_REPORT = 10;
    /** Rung, counted from 0. */
    public static final int RUNG = 12;
    /** Numeric value of a note. */
    public static final int NOTE_VALUE = 13;
    /** Cause of a release, a test or a test result; one byte. */
    public static final int CAUSE = 15;
    /** Description of a session; opaque bytes. */
    public static final int DESCRIPTION = 16;

    private Parameter() {}
}
