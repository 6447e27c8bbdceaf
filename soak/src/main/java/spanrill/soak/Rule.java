package spanrill.soak;

/** Protocol rules that a trial is checked against. */
public enum Rule {
    /** A request got no complete answer before its connection ended, was answered over 0.5 s late, wrongly or twice. */
    LOST,
    /** A set-up that must run at most once was repeated or refused without proof that it had not run. */
    DUPLICATE,
    /**
     * Two attempts of a request were outstanding at once. An attempt is outstanding from its complete arrival at a
     * server until the server writes its end or the node cancels it.
     */
    TWO_OUT,
    /** A node sent a set-up to a server after the grace period for learning that it drains or is gone. */
    DRAIN,
    /** At least three requests had an attempt that began more than 0.1 s after the client had left. */
    GONE_CLIENT,
    /**
     * A cold server got more than N + 2 x sqrt(N) + 2 set-ups in a window, or N + 3 x sqrt(N) + 3 for N under 30. N is
     * the number of set-ups that the settings allow it in that window.
     */
    COLD,
    /** A request had more attempts than the settings allow. */
    ATTEMPTS,
    /** The end of an established session was not passed on to its client or server in time, usually 1 s. */
    RELEASE,
    /** A bad client was neither refused nor closed within 3 s, or received an answer. */
    BAD_CLIENT,
    /** A node process exited unexpectedly, or logged an exception. */
    CRASH,
    /** A node process was not ready in time. */
    START
}
