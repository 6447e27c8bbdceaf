package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.OutcomeTable.Event;
import spanrill.decisions.OutcomeTable.Stage;

class OutcomeTableTest {
    @ParameterizedTest
    @EnumSource(Event.class)
    void everyEventHasAnOutcomeAtEveryStage(Event event) {
        for (Stage stage : Stage.values()) {
            assertNotNull(OutcomeTable.outcomeOf(stage, event), stage + " " + event);
        }
    }

    @ParameterizedTest
    @EnumSource(Event.class)
    void everyEventButCancellationIsProofBeforeAByteIsWritten(Event event) {
        Outcome connecting = OutcomeTable.outcomeOf(Stage.CONNECTING, event);
        assertEquals(event != Event.CANCELLED, connecting.neverRan(), event + " gave " + connecting);
        assertEquals(connecting, OutcomeTable.outcomeOf(Stage.CONNECTED, event));
    }

    @ParameterizedTest
    @EnumSource(Event.class)
    void onlyAnAnswerOfTheBoxIsProofAfterAByteIsWritten(Event event) {
        boolean boxAnswer = event == Event.REJECTED_BEFORE_START || event == Event.PROVEN_NEVER_RAN;
        assertEquals(boxAnswer, OutcomeTable.outcomeOf(Stage.WRITTEN, event).neverRan(), event.name());
        assertFalse(OutcomeTable.outcomeOf(Stage.ANSWERING, event).neverRan(), event.name());
    }

    @ParameterizedTest
    @CsvSource({
        "CONNECTING,CONNECT_REFUSED,CONNECT_FAILED",
        "WRITTEN,RESET,RESET",
        "WRITTEN,CLOSED,RESET",
        "WRITTEN,TIMED_OUT,TIMEOUT",
        "CONNECTING,TIMED_OUT,CONNECT_FAILED",
        "WRITTEN,REJECTED_BEFORE_START,FULL",
        "ANSWERING,CLOSED,RESET",
        "WRITTEN,MALFORMED,ERROR",
        "CONNECTING,POOL_EXHAUSTED,FULL",
        "WRITTEN,TOMBSTONED,ERROR",
        "CONNECTED,RESET,CONNECT_FAILED"
    })
    void eventAtStageHasOutcome(Stage stage, Event event, Outcome outcome) {
        assertEquals(outcome, OutcomeTable.outcomeOf(stage, event));
    }

    @Test
    void only503WithAKnownReasonIsARejectionBeforeStart() {
        assertNull(OutcomeTable.classifyStatus(200, null));
        assertEquals(Event.REJECTED_BEFORE_START, OutcomeTable.classifyStatus(503, "places"));
        assertEquals(Event.ERROR_STATUS, OutcomeTable.classifyStatus(503, null));
        assertEquals(Event.ERROR_STATUS, OutcomeTable.classifyStatus(503, "tired"));
        assertEquals(Event.ERROR_STATUS, OutcomeTable.classifyStatus(500, "places"));
        assertEquals(Event.TOMBSTONED, OutcomeTable.classifyStatus(409, null));
        assertTrue(OutcomeTable.classifyStatus(404, null) == Event.ERROR_STATUS);
    }
}
