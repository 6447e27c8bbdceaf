package spanrill.wire.platform;

/** Causes of a release, with their names in ITU-T Q.850 (05/2018), table 1. Any byte may come from a peer. */
public final class Cause {
    /** Normal call clearing: a give-up before the answer, an end in order after it. */
    public static final int NORMAL_CLEARING = 16;
    /** Normal, unspecified: moved, or ended by its viewer. */
    public static final int NORMAL_UNSPECIFIED = 31;
    /** No circuit/channel available: full, it never ran. */
    public static final int NO_CIRCUIT = 34;
    /** Temporary failure: the set-up broke on its way, the session was cut. */
    public static final int TEMPORARY_FAILURE = 41;
    /** Switching equipment congestion: refused, a later try is harmless. */
    public static final int CONGESTION = 42;
    /** Resource unavailable, unspecified: error. */
    public static final int RESOURCE_UNAVAILABLE = 47;
    /** Invalid call reference value: the session's number is in use. */
    public static final int INVALID_REFERENCE = 81;
    /** Mandatory information element is missing. */
    public static final int ELEMENT_MISSING = 96;
    /** Invalid information element contents. */
    public static final int INVALID_CONTENTS = 100;
    /** Recovery on timer expiry: moot, it never left. */
    public static final int TIMER_EXPIRY = 102;

    private Cause() {}
}
