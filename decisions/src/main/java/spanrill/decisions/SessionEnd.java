package spanrill.decisions;

import java.util.Locale;

/** Why a session is over, and what its player is told for it. */
public enum SessionEnd {
    /** Its viewer ended it. */
    ENDED(RetryAdvice.GONE),
    /** Its player was silent for too long. */
    IDLE(RetryAdvice.GONE),
    /** Its viewer left before the answer. */
    LEFT(RetryAdvice.GONE),
    /** The request was turned away. */
    REFUSED(RetryAdvice.GONE),
    /** The request failed. */
    FAILED(RetryAdvice.GONE),
    /** It was taken off its box and no other took it. */
    MOVE_REFUSED(RetryAdvice.RETRY_LATER),
    /** It was taken off its box, and whether another runs it isn't known. */
    MOVE_FAILED(RetryAdvice.GONE),
    /** Nothing listens any more where its box was. */
    BOX_GONE(RetryAdvice.GONE),
    /** Its box's process is another than the one that it was set up at. */
    BOX_RESTARTED(RetryAdvice.GONE),
    /** Its box ended it. */
    BOX_ENDED(RetryAdvice.GONE),
    /** Its box doesn't know it. */
    BOX_FORGOT(RetryAdvice.GONE);

    /** What a player that asks for more is told. */
    public enum RetryAdvice {
        /** It is over for good. */
        GONE,
        /** It is over, and another may be had after a wait. */
        RETRY_LATER
    }

    private final RetryAdvice retryAdvice;

    SessionEnd(RetryAdvice retryAdvice) {
        this.retryAdvice = retryAdvice;
    }

    /** What a player that asks for more is told. */
    public RetryAdvice retryAdvice() {
        return retryAdvice;
    }

    /** Its word in logs and on the wire, such as {@code move-refused}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The end that a final answer of the module amounts to. */
    public static SessionEnd fromFinalAnswer(boolean refused, boolean answerOwed) {
        return refused ? answerOwed ? REFUSED : MOVE_REFUSED : answerOwed ? FAILED : MOVE_FAILED;
    }
}
