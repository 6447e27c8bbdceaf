package spanrill.session;

/**
 * One request at a viewer side that waits for its answer. Exactly one of {@link #onPlaying}, {@link #onRefused},
 * {@link #onFailed} and {@link #onUnusable} is called, once, on the front's loop. A viewer side whose viewer goes
 * away first tells {@link SessionCore#cancelCall} and is called no more.
 */
public interface ViewerCall {
    /** The session plays. */
    void onPlaying(Session session);

    /** Turned away: a later try is harmless. */
    void onRefused(double retryAfterMs);

    /** Failed, with no assurance about its effect. */
    void onFailed();

    /** No request was made of it: its token stands for nothing any more, or there is no room. */
    void onUnusable(ViewerCall.UnusableReason why);

    /** Why a token can't be used. */
    enum UnusableReason {
        /** Its session is over. */
        USED,
        /** Too many tokens are remembered: come later. */
        NO_ROOM,
        /** No such title, as far as this front knows. */
        NO_TITLE,
        /** No list of boxes and titles yet. */
        NOT_READY
    }
}
