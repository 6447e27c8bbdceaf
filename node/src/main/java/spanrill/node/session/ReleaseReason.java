package spanrill.node.session;

/** What a viewer is told when a session does not stand, or no longer. */
public enum ReleaseReason {
    /** Refused: trying again is harmless. */
    REFUSED,
    /** Failed, with no assurance about its effect. */
    FAILED,
    /** It stood and came to its end. */
    OVER,
    /** It stood and was cut. */
    CUT
}
