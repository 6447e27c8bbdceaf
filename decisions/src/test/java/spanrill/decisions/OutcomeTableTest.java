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
            assertNotNull(OutcomeTable.read(stage, event), stage + " " + event);
        }
    }

    @ParameterizedTest
    @EnumSource(Event.class)
    void beforeAByteIsWrittenOnlyACallOffIsNoProof(Event event) {
        Outcome connecting = OutcomeTable.read(Stage.CONNECTING, event);
        assertEquals(event != Event.CALLED_OFF, connecting.neverRan(), event + " gave " + connecting);
        assertEquals(connecting, OutcomeTable.read(Stage.CONNECTED, event));
    }

    @ParameterizedTest
    @EnumSource(Event.class)
    void afterAByteIsWrittenOnlyTheBoxsOwnWordIsProof(Event event) {
        boolean word = event == Event.TURNED_AWAY || event == Event.SETTLED_UNSEEN;
        assertEquals(word, OutcomeTable.read(Stage.WRITTEN, event).neverRan(), event.name());
        assertFalse(OutcomeTable.read(Stage.ANSWERING, event).neverRan(), event.name());
    }

    @ParameterizedTest
    @CsvSource({
        "CONNECTING,CONNECT_REFUSED,CONNECT_FAILED",
        "WRITTEN,RESET,RESET",
        "WRITTEN,CLOSED,RESET",
        "WRITTEN,TIMED_OUT,TIMEOUT",
        "CONNECTING,TIMED_OUT,CONNECT_FAILED",
        "WRITTEN,TURNED_AWAY,FULL",
        "ANSWERING,CLOSED,RESET",
        "WRITTEN,MALFORMED,ERROR",
        "CONNECTING,NO_ROOM,FULL",
        "WRITTEN,TOMBSTONED,ERROR",
        "CONNECTED,RESET,CONNECT_FAILED"
    })
    void namesTheOutcome(Stage stage, Event event, Outcome outcome) {
        assertEquals(outcome, OutcomeTable.read(stage, event));
    }

    @Test
    void onlyAKnownReasonTurnsAway() {
        assertNull(OutcomeTable.status(200, null));
        assertEquals(Event.TURNED_AWAY, OutcomeTable.status(503, "places"));
        assertEquals(Event.ERROR_STATUS, OutcomeTable.status(503, null));
        assertEquals(Event.ERROR_STATUS, OutcomeTable.status(503, "tired"));
        assertEquals(Event.ERROR_STATUS, OutcomeTable.status(500, "places"));
        assertEquals(Event.TOMBSTONED, OutcomeTable.status(409, null));
        assertTrue(OutcomeTable.status(404, null) == Event.ERROR_STATUS);
    }
}
