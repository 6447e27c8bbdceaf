package spanrill.node.session;

/** Why a viewer gets a release: the result of a set-up without a session, or the end of an established session. */
public enum ReleaseReason {
    /** The set-up was refused: a retry is harmless. */
    REFUSED,
    /** The set-up failed; whether it had an effect is unknown. */
    FAILED,
    /** The established session ended normally. */
    OVER,
    /** The established session was lost before its normal end. */
    CUT
}
