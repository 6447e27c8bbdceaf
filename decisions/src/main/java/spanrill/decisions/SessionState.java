package spanrill.decisions;

import java.util.EnumMap;
import java.util.Map;
import spanrill.SessionControl.Outcome;

/**
 * State machine of one session, from the viewer's request to the end. It enforces three rules: one answer per
 * request, one open attempt at a time, and no second attempt or refusal of a paid request without proof that no
 * attempt ran. All transitions are in one table; any other throws an {@link IllegalTransitionException}.
 *
 * <p>A session that moves passes through {@link Phase#MOVING}: the old attempt has ended, the answer to the viewer
 * remains valid, and the next set-up spends nothing.
 */
public final class SessionState {
    /** Phase of a session. */
    public enum Phase {
        /** Created; no attempt is open; the answer is pending. */
        TAKEN,
        /** An attempt is open; the answer is pending. */
        SETTING_UP,
        /** Answered "plays"; the session plays. */
        PLAYING,
        /** Answered "plays"; taken off its box, no attempt is open. */
        MOVING,
        /** Answered "plays"; an attempt of a move is open. */
        MOVING_SET_UP,
        /** Ended, or the viewer left before the answer. */
        OVER
    }

    /** An event that changes the phase. */
    public enum Event {
        /** An attempt is sent. */
        SEND,
        /** The attempt plays. */
        PLAYS,
        /** The attempt ended before it played. */
        ATTEMPT_ENDED,
        /** The session is taken off its box to continue on another one. */
        MOVE,
        /** The request is refused. */
        REFUSE,
        /** The request fails. */
        FAIL,
        /** The viewer left or its patience ran out. */
        LEAVE,
        /** An established session ends: ended by the viewer, lost, or its move was not completed. */
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
        addRow(
                Phase.TAKEN,
                Event.SEND,
                Phase.SETTING_UP,
                Event.REFUSE,
                Phase.OVER,
                Event.FAIL,
                Phase.OVER,
                Event.LEAVE,
                Phase.OVER);
        addRow(Phase.SETTING_UP, Event.PLAYS, Phase.PLAYING, Event.ATTEMPT_ENDED, Phase.TAKEN, Event.LEAVE, Phase.OVER);
        addRow(Phase.PLAYING, Event.MOVE, Phase.MOVING, Event.END, Phase.OVER);
        addRow(
                Phase.MOVING,
                Event.SEND,
                Phase.MOVING_SET_UP,
                Event.REFUSE,
                Phase.OVER,
                Event.FAIL,
                Phase.OVER,
                Event.END,
                Phase.OVER);
        addRow(
                Phase.MOVING_SET_UP,
                Event.PLAYS,
                Phase.PLAYING,
                Event.ATTEMPT_ENDED,
                Phase.MOVING,
                Event.END,
                Phase.OVER);
        addRow(Phase.OVER);
    }

    private final boolean paid;
    private Phase phase = Phase.TAKEN;
    private Answer answer;
    private int attempts;
    private boolean mayHaveRun;

    /**
     * Creates the state of a new session.
     *
     * @param paid true when sessions of the class are paid for at set-up
     */
    public SessionState(boolean paid) {
        this.paid = paid;
    }

    private static void addRow(Phase from, Object... eventsAndTargets) {
        Map<Event, Phase> row = new EnumMap<>(Event.class);
        for (int i = 0; i < eventsAndTargets.length; i += 2) {
            row.put((Event) eventsAndTargets[i], (Phase) eventsAndTargets[i + 1]);
        }
        TABLE.put(from, row);
    }

    /** True when the table has this transition and the rule for paid sessions does not forbid it. */
    public boolean allows(Event event) {
        if (!TABLE.get(phase).containsKey(event)) {
            return false;
        }
        return !(mayBeSpent() && answer == null && (event == Event.SEND || event == Event.REFUSE));
    }

    /** Applies an event; for {@link Event#ATTEMPT_ENDED} use {@link #attemptEnded}. */
    public void apply(Event event) {
        if (event == Event.ATTEMPT_ENDED) {
            throw new IllegalTransitionException("the end of an attempt needs an outcome: call attemptEnded");
        }
        transition(event);
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

    /** Records the outcome of the open attempt, which has ended. */
    public void attemptEnded(Outcome outcome) {
        transition(Event.ATTEMPT_ENDED);
        mayHaveRun |= !outcome.neverRan();
    }

    private void transition(Event event) {
        if (!allows(event)) {
            throw new IllegalTransitionException(event + " is not allowed for a session in phase " + phase
                    + (paid && mayHaveRun ? " that is paid and may have run" : ""));
        }
        phase = TABLE.get(phase).get(event);
    }

    /** Current phase. */
    public Phase phase() {
        return phase;
    }

    /** The answer given, or null while it is pending or when the viewer left before the answer. */
    public Answer answer() {
        return answer;
    }

    /** True while an attempt is open. */
    public boolean hasOpenAttempt() {
        return phase == Phase.SETTING_UP || phase == Phase.MOVING_SET_UP;
    }

    /** True while the viewer waits for the answer. */
    public boolean isAnswerPending() {
        return phase == Phase.TAKEN || phase == Phase.SETTING_UP;
    }

    /** True from the answer "plays" until the end. */
    public boolean isEstablished() {
        return phase == Phase.PLAYING || phase == Phase.MOVING || phase == Phase.MOVING_SET_UP;
    }

    /** Number of attempts sent so far, including those of moves. */
    public int attempts() {
        return attempts;
    }

    /** True when the session is paid for at set-up and an attempt may have run: it must not be set up again. */
    public boolean mayBeSpent() {
        return paid && mayHaveRun;
    }

    /** True when an attempt may have run on a box. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
