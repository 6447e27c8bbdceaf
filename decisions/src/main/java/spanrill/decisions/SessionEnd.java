package spanrill.decisions;

import java.util.Locale;

/** Why a session ended, and what its player is advised to do. */
public enum SessionEnd {
    /** The viewer ended the session. */
    ENDED(RetryAdvice.GONE),
    /** The player sent no request for too long. */
    IDLE(RetryAdvice.GONE),
    /** The viewer left before the answer. */
    LEFT(RetryAdvice.GONE),
    /** The request was refused. */
    REFUSED(RetryAdvice.GONE),
    /** The request failed. */
    FAILED(RetryAdvice.GONE),
    /** The session was taken off its box, and no other box accepted it. */
    MOVE_REFUSED(RetryAdvice.RETRY_LATER),
    /** The session was taken off its box, and it is unknown whether another box runs it. */
    MOVE_FAILED(RetryAdvice.GONE),
    /** Nothing listens at the address of the box any more. */
    BOX_GONE(RetryAdvice.GONE),
    /** The process of the box has been replaced since the set-up. */
    BOX_RESTARTED(RetryAdvice.GONE),
    /** The box ended the session. */
    BOX_ENDED(RetryAdvice.GONE),
    /** The box does not know the session. */
    BOX_FORGOT(RetryAdvice.GONE);

    /** Whether a player that requests more segments of the ended session is told to request a new session later. */
    public enum RetryAdvice {
        /** The session has ended for good. */
        GONE,
        /** The session has ended; a new one may be requested after a wait. */
        RETRY_LATER
    }

    private final RetryAdvice retryAdvice;

    SessionEnd(RetryAdvice retryAdvice) {
        this.retryAdvice = retryAdvice;
    }

    /** What a player that requests more segments of the ended session is told about a retry. */
    public RetryAdvice retryAdvice() {
        return retryAdvice;
    }

    /** Name of this constant in logs and on the wire, such as {@code move-refused}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The end of a session for which the module gave the final answer "refused" or "failed". */
    public static SessionEnd fromFinalAnswer(boolean refused, boolean answerPending) {
        return refused ? answerPending ? REFUSED : MOVE_REFUSED : answerPending ? FAILED : MOVE_FAILED;
    }
}
