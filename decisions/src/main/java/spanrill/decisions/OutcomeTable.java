package spanrill.decisions;

import java.util.EnumMap;
import java.util.Map;
import spanrill.SessionControl.Outcome;

/**
 * Reads what happened on the wire of one set-up as an {@link Outcome}, and with it whether that proves that
 * the box never ran the attempt. One table, so that every proof can be read in one place.
 *
 * <p>The rule behind it: an attempt can only have run when at least one byte of it was handed to the
 * operating system. Until then whatever goes wrong proves that it never ran; from then on only the box's own
 * word (a 503 with a reason that it knows, or a call-off that came before the beginning) does.
 */
public final class OutcomeTable {
    /** How far the attempt had come on this front's side when the event happened. */
    public enum Stage {
        /** Waiting for a connection; nothing was written. */
        CONNECTING,
        /** A connection stands; nothing of this attempt was written to it. */
        CONNECTED,
        /** At least one byte of the attempt was handed to the operating system. */
        WRITTEN,
        /** The head of an answer that is no refusal came; its body is not complete. */
        ANSWERING
    }

    /** What happened. */
    public enum Event {
        /** The connection was refused (RFC 9293 section 3.10.7.1: a reset in answer to the SYN). */
        CONNECT_REFUSED,
        /** No connection within the connect time-out. */
        CONNECT_TIMED_OUT,
        /** The connection was reset. */
        RESET,
        /** The box closed the connection in order. */
        CLOSED,
        /** The attempt's time is up. */
        TIMED_OUT,
        /** This front called the attempt off. */
        CANCELLED,
        /** 503 with a reason that says it was turned away unseen. */
        REJECTED_BEFORE_START,
        /** 409: the box tells that this attempt was called off before it began. */
        TOMBSTONED,
        /** The box tells that it was called off before it began, and never will: see {@link CancellationProof}. */
        PROVEN_NEVER_RAN,
        /** Any other status that is no success. */
        ERROR_STATUS,
        /** Bytes that are no HTTP/1.1 answer. */
        MALFORMED,
        /** No free connection and none may be opened: it was never offered to the box. */
        POOL_EXHAUSTED
    }

    private static final Map<Stage, Map<Event, Outcome>> TABLE = new EnumMap<>(Stage.class);

    static {
        // Nothing was written: every event proves that the attempt never ran.
        for (Stage stage : new Stage[] {Stage.CONNECTING, Stage.CONNECTED}) {
            Map<Event, Outcome> row = new EnumMap<>(Event.class);
            for (Event event : Event.values()) {
                row.put(event, Outcome.CONNECT_FAILED);
            }
            row.put(Event.CANCELLED, Outcome.CANCELLED);
            row.put(Event.POOL_EXHAUSTED, Outcome.FULL);
            TABLE.put(stage, row);
        }
        Map<Event, Outcome> written = new EnumMap<>(Event.class);
        // A refused or late connect can't follow a written byte; read as a loss, which proves nothing.
        written.put(Event.CONNECT_REFUSED, Outcome.RESET);
        written.put(Event.CONNECT_TIMED_OUT, Outcome.RESET);
        written.put(Event.RESET, Outcome.RESET);
        written.put(Event.CLOSED, Outcome.RESET);
        written.put(Event.TIMED_OUT, Outcome.TIMEOUT);
        written.put(Event.CANCELLED, Outcome.CANCELLED);
        written.put(Event.REJECTED_BEFORE_START, Outcome.FULL);
        written.put(Event.TOMBSTONED, Outcome.ERROR);
        written.put(Event.PROVEN_NEVER_RAN, Outcome.FULL);
        written.put(Event.ERROR_STATUS, Outcome.ERROR);
        written.put(Event.MALFORMED, Outcome.ERROR);
        written.put(Event.POOL_EXHAUSTED, Outcome.RESET);
        TABLE.put(Stage.WRITTEN, written);
        Map<Event, Outcome> answering = new EnumMap<>(written);
        // A success head was seen: the attempt ran, whatever comes after it.
        answering.put(Event.REJECTED_BEFORE_START, Outcome.ERROR);
        answering.put(Event.PROVEN_NEVER_RAN, Outcome.ERROR);
        TABLE.put(Stage.ANSWERING, answering);
    }

    private OutcomeTable() {}

    /** The outcome that an event at a stage amounts to. */
    public static Outcome outcomeOf(Stage stage, Event event) {
        return TABLE.get(stage).get(event);
    }

    /**
     * Reads a status code and the reason that a box gives with it.
     *
     * @param status HTTP status (RFC 9110 section 15)
     * @param reason value of {@code Spanrill-Reason}, or null
     * @return null for a success
     */
    public static Event classifyStatus(int status, String reason) {
        if (status >= 200 && status < 300) {
            return null;
        }
        if (status == 503 && reason != null) {
            return switch (reason) {
                case "places", "link", "draining", "cold" -> Event.REJECTED_BEFORE_START;
                default -> Event.ERROR_STATUS;
            };
        }
        return status == 409 ? Event.TOMBSTONED : Event.ERROR_STATUS;
    }
}
