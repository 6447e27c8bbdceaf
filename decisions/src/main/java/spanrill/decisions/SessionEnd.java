package spanrill.decisions;

import java.util.Locale;

/** Why a session is over, and what its player is told for it. */
public enum SessionEnd {
    /** Its viewer ended it. */
    ENDED(Told.GONE),
    /** Its player was silent for too long. */
    IDLE(Told.GONE),
    /** Its viewer left before the answer. */
    LEFT(Told.GONE),
    /** The request was turned away. */
    REFUSED(Told.GONE),
    /** The request failed. */
    FAILED(Told.GONE),
    /** It was taken off its box and no other took it. */
    MOVE_REFUSED(Told.COME_AGAIN),
    /** It was taken off its box, and whether another runs it isn't known. */
    MOVE_FAILED(Told.GONE),
    /** Nothing listens any more where its box was. */
    BOX_GONE(Told.GONE),
    /** Its box's process is another than the one that it was set up at. */
    BOX_RESTARTED(Told.GONE),
    /** Its box ended it. */
    BOX_ENDED(Told.GONE),
    /** Its box doesn't know it. */
    BOX_FORGOT(Told.GONE);

    /** What a player that asks for more is told. */
    public enum Told {
        /** It is over for good. */
        GONE,
        /** It is over, and another may be had after a wait. */
        COME_AGAIN
    }

    private final Told told;

    SessionEnd(Told told) {
        this.told = told;
    }

    /** What a player that asks for more is told. */
    public Told told() {
        return told;
    }

    /** Its word in logs and on the wire, such as {@code move-refused}. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The end that a final answer of the module amounts to. */
    public static SessionEnd of(boolean refused, boolean answerOwed) {
        return refused ? answerOwed ? REFUSED : MOVE_REFUSED : answerOwed ? FAILED : MOVE_FAILED;
    }
}
