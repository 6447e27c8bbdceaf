package spanrill.wire.platform;

/** Codes of parameters. Values are text, but for the cause (one byte) and the description. */
public final class Parameter {
    /** Class of session. */
    public static final int CLASS = 1;
    /** How long the sender waits for the answer, ms. */
    public static final int WAIT = 2;
    /** The title. */
    public static final int TITLE = 5;
    /** Figures of the request and its viewer. */
    public static final int ATTRIBUTES = 6;
    /** How long to stay away after a refusal, ms. */
    public static final int RETRY_AFTER = 7;
    /** Kind of a note. */
    public static final int NOTE_KIND = 8;
    /** A load report. */
    public static final int LOAD_REPORT = 10;
    /** A rung, from 0. */
    public static final int RUNG = 12;
    /** Figure of a note. */
    public static final int NOTE_VALUE = 13;
    /** Cause of a release or of a test and its result; one byte. */
    public static final int CAUSE = 15;
    /** Description of a session; any bytes. */
    public static final int DESCRIPTION = 16;

    private Parameter() {}
}
