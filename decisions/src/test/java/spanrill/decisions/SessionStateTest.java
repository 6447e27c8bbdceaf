package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.SessionState.Answer;
import spanrill.decisions.SessionState.Event;
import spanrill.decisions.SessionState.Phase;

class SessionStateTest {
    /** For random sequences of events, the accepted ones keep the rules of a session. */
    @Property(tries = 100_000, seed = "20261201")
    void acceptedEventsOfAnySequenceKeepTheRules(
            @ForAll boolean paid,
            @ForAll @Size(max = 40) List<Event> events,
            @ForAll @Size(min = 40, max = 40) List<Outcome> outcomes) {
        SessionState state = new SessionState(paid);
        Answer answer = null;
        boolean attemptOpen = false;
        boolean mayHaveRun = false;
        for (int i = 0; i < events.size(); i++) {
            Event event = events.get(i);
            boolean allowed = state.allows(event);
            try {
                if (event == Event.ATTEMPT_ENDED) {
                    state.attemptEnded(outcomes.get(i));
                    mayHaveRun |= !outcomes.get(i).neverRan();
                    attemptOpen = false;
                } else {
                    state.apply(event);
                    if (event == Event.SEND) {
                        assertFalse(attemptOpen, "two open attempts");
                        assertFalse(paid && mayHaveRun && answer == null, "a paid set-up was sent again");
                        attemptOpen = true;
                    }
                    if (event == Event.REFUSE && answer == null) {
                        assertFalse(paid && mayHaveRun, "refused without proof");
                    }
                    if (event == Event.PLAYS) {
                        assertTrue(attemptOpen);
                        attemptOpen = false;
                        mayHaveRun = true;
                    }
                }
                assertTrue(allowed);
            } catch (IllegalTransitionException exception) {
                assertFalse(allowed);
            }
            if (answer != null) {
                assertEquals(answer, state.answer(), "a second answer");
            }
            answer = state.answer();
            assertEquals(attemptOpen && state.phase() != Phase.OVER, state.hasOpenAttempt());
        }
    }

    @Test
    void paidSessionThatMayHaveRunCanOnlyFail() {
        SessionState state = new SessionState(true);
        state.apply(Event.SEND);
        state.attemptEnded(Outcome.TIMEOUT);
        assertThrows(IllegalTransitionException.class, () -> state.apply(Event.SEND));
        assertThrows(IllegalTransitionException.class, () -> state.apply(Event.REFUSE));
        state.apply(Event.FAIL);
        assertEquals(Answer.FAILED, state.answer());
    }

    @Test
    void paidSessionMaySendAgainAfterProofThatNothingRan() {
        SessionState state = new SessionState(true);
        state.apply(Event.SEND);
        state.attemptEnded(Outcome.FULL);
        state.apply(Event.SEND);
        state.attemptEnded(Outcome.CONNECT_FAILED);
        state.apply(Event.REFUSE);
        assertEquals(2, state.attempts());
        assertFalse(state.mayHaveRun());
    }

    @Test
    void movedPaidSessionIsSetUpAgainWithoutASecondAnswer() {
        SessionState state = new SessionState(true);
        state.apply(Event.SEND);
        state.apply(Event.PLAYS);
        state.apply(Event.MOVE);
        state.apply(Event.SEND);
        state.attemptEnded(Outcome.RESET);
        state.apply(Event.SEND);
        state.apply(Event.PLAYS);
        assertEquals(Phase.PLAYING, state.phase());
        assertEquals(Answer.PLAYS, state.answer());
        state.apply(Event.END);
        assertThrows(IllegalTransitionException.class, () -> state.apply(Event.FAIL));
    }

    @Test
    void endOfAnAttemptNeedsAnOutcome() {
        SessionState state = new SessionState(false);
        state.apply(Event.SEND);
        assertThrows(IllegalTransitionException.class, () -> state.apply(Event.ATTEMPT_ENDED));
    }
}
