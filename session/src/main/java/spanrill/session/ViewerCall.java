package spanrill.session;

/**
 * One call of a viewer that waits for its answer. Exactly one of {@link #onPlaying}, {@link #onRefused},
 * {@link #onFailed} and {@link #onUnusable} is called, once, on the front's event loop. None is called after
 * {@link SessionCore#cancelCall}, which a viewer side uses when its viewer disconnects before the answer.
 */
public interface ViewerCall {
    /** The session plays. */
    void onPlaying(Session session);

    /** The request is refused. The viewer may safely try again after the delay. */
    void onRefused(double retryAfterMs);

    /** The request failed. An attempt may have taken effect. */
    void onFailed();

    /** The call did not become a request, because its token or title can't be used now. */
    void onUnusable(UnusableReason reason);

    /** Reason why a call did not become a request. */
    enum UnusableReason {
        /** The session of the token has ended. */
        USED,
        /** This front already remembers as many tokens as it may. The viewer may try again later. */
        NO_ROOM,
        /** The title is not in this front's catalogue. */
        NO_TITLE,
        /** The front has not received its list of boxes and titles yet. */
        NOT_READY
    }
}
