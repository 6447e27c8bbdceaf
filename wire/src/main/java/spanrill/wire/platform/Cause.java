package spanrill.wire.platform;

/**
 * Causes of a release, named as in ITU-T Q.850 (05/2018), table 1. A peer may send any other byte as a cause.
 */
public final class Cause {
    /** Normal call clearing: before the answer the set-up is cancelled, after the answer the session ends normally. */
    public static final int NORMAL_CLEARING = 16;
    /** Normal, unspecified: the session moved, or its viewer ended it. */
    public static final int NORMAL_UNSPECIFIED = 31;
    /** No circuit/channel available: the server is full and the session never ran. */
    public static final int NO_CIRCUIT = 34;
    /** Temporary failure: the connection failed during the set-up, or the session was interrupted. */
    public static final int TEMPORARY_FAILURE = 41;
    /** Switching equipment congestion: the set-up is refused and may safely be retried later. */
    public static final int CONGESTION = 42;
    /** Resource unavailable, unspecified: an error. */
    public static final int RESOURCE_UNAVAILABLE = 47;
    /** Invalid call reference value: the session number is already in use. */
    public static final int INVALID_REFERENCE = 81;
    /** Mandatory information element is missing: a required parameter is absent. */
    public static final int ELEMENT_MISSING = 96;
    /** Invalid information element contents: the value of a parameter is unusable. */
    public static final int INVALID_CONTENTS = 100;
    /** Recovery on timer expiry: the deadline passed before the set-up was sent. */
    public static final int TIMER_EXPIRY = 102;

    private Cause() {}
}
