package spanrill.decisions;

/** Why a client connection ends, and what happens to the requests that are still open on it. */
public enum CloseReason {
    /** The node shuts down: open requests get their answers, the last by the deadline of the shutdown. */
    SHUTDOWN(0, true),
    /** No request or session was open on the connection for too long: no request is affected. */
    IDLE(0, true),
    /** Nothing useful was received on the connection: no request is affected. */
    NOTHING_USEFUL(0, true),
    /** A message was not completed in time: no request is affected, as an open one prevents this reason. */
    MESSAGE_INCOMPLETE(0, false),
    /** A new connection needs the descriptor of this one: no request is affected. */
    EVICTED(0, true),
    /** A flood of unusable messages: open requests get their answers, or fail when the time limit is reached. */
    ABUSE(CloseReason.HOSTILE_MS, true),
    /** Input that can't be framed: nothing more can be read; open requests as with {@link #ABUSE}. */
    UNREADABLE(CloseReason.HOSTILE_MS, false),
    /** The client does not read: closed at once, since no answer would arrive. Open requests are dropped. */
    OUTPUT_STALLED(0, false),
    /** The client closed the connection: its open requests are dropped. */
    PEER_CLOSED(0, false),
    /** Reading or writing failed: as with {@link #PEER_CLOSED}. */
    CONNECTION_FAILED(0, false);

    /** Half of the 3 s within which the protocol requires a refusal, an error or a close for such a client. */
    private static final double HOSTILE_MS = 1500;

    private final double drainMs;
    private final boolean keepsReadingMessages;

    CloseReason(double drainMs, boolean keepsReadingMessages) {
        this.drainMs = drainMs;
        this.keepsReadingMessages = keepsReadingMessages;
    }

    /** Time after which open requests are failed, ms; 0 when the caller defines it or no request is open. */
    double drainMs() {
        return drainMs;
    }

    /** True when messages that arrive on the connection while it drains are still read. */
    boolean keepsReadingMessages() {
        return keepsReadingMessages;
    }
}
