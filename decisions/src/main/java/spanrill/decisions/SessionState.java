package spanrill.decisions;

import java.util.EnumMap;
import java.util.Map;
import spanrill.SessionControl.Outcome;

/**
 * The state of one session, from the viewer's request to its end: it owns "one answer", "one attempt out" and
 * "proof that it never ran". Every transition stands in one table; any other is a {@link IllegalTransitionException}.
 *
 * <p>A session that moves passes through {@link Phase#MOVING}, where its old attempt is over and the answer
 * to the viewer stands; it then sets up again without spending.
 */
public final class SessionState {
    /** Where a session stands. */
    public enum Phase {
        /** Taken; no attempt out; the answer is owed. */
        TAKEN,
        /** One attempt out; the answer is owed. */
        SETTING_UP,
        /** Answered "plays"; it plays. */
        PLAYING,
        /** Answered "plays"; taken off its box, no attempt out. */
        MOVING,
        /** Answered "plays"; an attempt of a move is out. */
        MOVING_SET_UP,
        /** Over: answered, or its viewer left before the answer. */
        OVER
    }

    /** What may happen to it. */
    public enum Event {
        /** An attempt is sent. */
        SEND,
        /** The attempt plays. */
        PLAYS,
        /** The attempt ended before it played. */
        ATTEMPT_ENDED,
        /** It is taken off its box to go elsewhere. */
        MOVE,
        /** Turned away. */
        REFUSE,
        /** Failed. */
        FAIL,
        /** The viewer left, or its time ran out. */
        LEAVE,
        /** It played and is over: ended by the viewer, lost, or its move came to nothing. */
        END
    }

    /** The final answer to a request. */
    public enum Answer {
        PLAYS,
        REFUSED,
        FAILED
    }

    private static final Map<Phase, Map<Event, Phase>> TABLE = new EnumMap<>(Phase.class);

    static {
        row(
                Phase.TAKEN,
                Event.SEND,
                Phase.SETTING_UP,
                Event.REFUSE,
                Phase.OVER,
                Event.FAIL,
                Phase.OVER,
                Event.LEAVE,
                Phase.OVER);
        row(Phase.SETTING_UP, Event.PLAYS, Phase.PLAYING, Event.ATTEMPT_ENDED, Phase.TAKEN, Event.LEAVE, Phase.OVER);
        row(Phase.PLAYING, Event.MOVE, Phase.MOVING, Event.END, Phase.OVER);
        row(
                Phase.MOVING,
                Event.SEND,
                Phase.MOVING_SET_UP,
                Event.REFUSE,
                Phase.OVER,
                Event.FAIL,
                Phase.OVER,
                Event.END,
                Phase.OVER);
        row(Phase.MOVING_SET_UP, Event.PLAYS, Phase.PLAYING, Event.ATTEMPT_ENDED, Phase.MOVING, Event.END, Phase.OVER);
        row(Phase.OVER);
    }

    private final boolean once;
    private Phase phase = Phase.TAKEN;
    private Answer answer;
    private int attempts;
    private boolean mayHaveRun;

    /**
     * A session just taken.
     *
     * @param once true when its class is paid for at set-up
     */
    public SessionState(boolean once) {
        this.once = once;
    }

    private static void row(Phase from, Object... pairs) {
        Map<Event, Phase> row = new EnumMap<>(Event.class);
        for (int i = 0; i < pairs.length; i += 2) {
            row.put((Event) pairs[i], (Phase) pairs[i + 1]);
        }
        TABLE.put(from, row);
    }

    /** True when the table has this transition and the rule on paid sessions does not forbid it. */
    public boolean allows(Event event) {
        if (!TABLE.get(phase).containsKey(event)) {
            return false;
        }
        boolean unproven = once && mayHaveRun && answer == null;
        return !(unproven && (event == Event.SEND || event == Event.REFUSE));
    }

    /** Takes a transition. {@link Event#ATTEMPT_ENDED} goes through {@link #attemptEnded}. */
    public void apply(Event event) {
        if (event == Event.ATTEMPT_ENDED) {
            throw new IllegalTransitionException("an attempt ends with an outcome");
        }
        step(event);
        switch (event) {
            case SEND -> attempts++;
            case PLAYS -> {
                mayHaveRun = true;
                answer = Answer.PLAYS;
            }
            case REFUSE -> answer = answer == null ? Answer.REFUSED : answer;
            case FAIL -> answer = answer == null ? Answer.FAILED : answer;
            default -> {}
        }
    }

    /** The attempt that is out ended with an outcome. */
    public void attemptEnded(Outcome outcome) {
        step(Event.ATTEMPT_ENDED);
        mayHaveRun |= !outcome.neverRan();
    }

    private void step(Event event) {
        if (!allows(event)) {
            throw new IllegalTransitionException(
                    event + " of a session that is " + phase + (once && mayHaveRun ? ", paid, and may have run" : ""));
        }
        phase = TABLE.get(phase).get(event);
    }

    /** Where it stands. */
    public Phase phase() {
        return phase;
    }

    /** The answer given, or null while it is owed or when the viewer left before it. */
    public Answer answer() {
        return answer;
    }

    /** True while an attempt is out. */
    public boolean hasOpenAttempt() {
        return phase == Phase.SETTING_UP || phase == Phase.MOVING_SET_UP;
    }

    /** True while the viewer still waits for the answer. */
    public boolean isAnswerPending() {
        return phase == Phase.TAKEN || phase == Phase.SETTING_UP;
    }

    /** True after it was answered "plays" and before its end. */
    public boolean isEstablished() {
        return phase == Phase.PLAYING || phase == Phase.MOVING || phase == Phase.MOVING_SET_UP;
    }

    /** Attempts sent so far, those of moves included. */
    public int attempts() {
        return attempts;
    }

    /** True when an attempt may have run at a box. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
