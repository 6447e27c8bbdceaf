package spanrill.decisions;

import java.util.EnumMap;
import java.util.Map;
import spanrill.SessionControl.Outcome;

/**
 * Maps network events during a set-up attempt to an {@link Outcome}, and thereby decides whether an event proves
 * that the box never ran the attempt. All these decisions are in this one table.
 *
 * <p>An attempt can only have run when at least one byte of it was passed to the operating system. Until then
 * every failure proves that the attempt never ran. Afterwards only an answer of the box proves it: a 503 with a
 * known reason, or the confirmation of a cancellation that arrived before the attempt was started.
 */
public final class OutcomeTable {
    /** Progress of the attempt on the side of the front. */
    public enum Stage {
        /** Waiting for a connection; nothing was written. */
        CONNECTING,
        /** A connection is open; nothing of the attempt was written. */
        CONNECTED,
        /** At least one byte of the attempt was passed to the operating system. */
        WRITTEN,
        /** The head of a success answer was received; the body is incomplete. */
        ANSWERING
    }

    /** A network event that ends an attempt. */
    public enum Event {
        /** The connection was refused (RFC 9293 section 3.10.7.1: a reset in answer to the SYN). */
        CONNECT_REFUSED,
        /** The connect timeout expired. */
        CONNECT_TIMED_OUT,
        /** The connection was reset. */
        RESET,
        /** The box closed the connection without a reset. */
        CLOSED,
        /** The attempt timed out. */
        TIMED_OUT,
        /** This front cancelled the attempt. */
        CANCELLED,
        /** 503 with a reason for which boxes reject a set-up without starting it. */
        REJECTED_BEFORE_START,
        /** 409: the attempt had been cancelled before it arrived at the box. */
        TOMBSTONED,
        /** The box confirmed that the attempt was cancelled before it started: see {@link CancellationProof}. */
        PROVEN_NEVER_RAN,
        /** Any other status that is not a success. */
        ERROR_STATUS,
        /** The received bytes are not an HTTP/1.1 answer. */
        MALFORMED,
        /** No connection is free and none may be opened: the attempt was not sent. */
        POOL_EXHAUSTED
    }

    private static final Map<Stage, Map<Event, Outcome>> TABLE = new EnumMap<>(Stage.class);

    static {
        // Nothing was written: every event proves that the attempt never ran.
        for (Stage stage : new Stage[] {Stage.CONNECTING, Stage.CONNECTED}) {
            Map<Event, Outcome> unsent = new EnumMap<>(Event.class);
            for (Event event : Event.values()) {
                unsent.put(event, Outcome.CONNECT_FAILED);
            }
            unsent.put(Event.CANCELLED, Outcome.CANCELLED);
            unsent.put(Event.POOL_EXHAUSTED, Outcome.FULL);
            TABLE.put(stage, unsent);
        }
        Map<Event, Outcome> written = new EnumMap<>(Event.class);
        // A connect failure can't follow a written byte; it is treated as a lost connection, which proves nothing.
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
        // The head of a success answer shows that the attempt ran, whatever follows.
        answering.put(Event.REJECTED_BEFORE_START, Outcome.ERROR);
        answering.put(Event.PROVEN_NEVER_RAN, Outcome.ERROR);
        TABLE.put(Stage.ANSWERING, answering);
    }

    private OutcomeTable() {}

    /** The outcome of an attempt that an event ends at a stage. */
    public static Outcome outcomeOf(Stage stage, Event event) {
        return TABLE.get(stage).get(event);
    }

    /**
     * Maps a status code and the reason sent with it to an event.
     *
     * @param status HTTP status (RFC 9110 section 15)
     * @param reason value of {@code Spanrill-Reason}, or null
     * @return the event, or null for a success
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
