package spanrill.decisions;

/** Why a client connection ends. Each states what becomes of the requests that are still open on it. */
public enum CloseReason {
    /** The node shuts down: open requests get their answers, the last by the deadline of the shutdown. */
    SHUTDOWN(0, true),
    /** Nothing was open on it for long: no request is affected. */
    IDLE(0, true),
    /** Nothing that can be used came on it: no request is affected. */
    NOTHING_USEFUL(0, true),
    /** A message was begun and never completed: no request is affected, an open one would have kept it. */
    MESSAGE_INCOMPLETE(0, false),
    /** Its descriptor is needed for a new connection: no request is affected. */
    EVICTED(0, true),
    /** A flood of messages that can't be used: open requests get their answers, or fail when time is up. */
    ABUSE(CloseReason.HOSTILE_MS, true),
    /** Bytes that can't be framed: nothing more can be read, open requests as with {@link #ABUSE}. */
    UNREADABLE(CloseReason.HOSTILE_MS, false),
    /** The client reads nothing: closed at once, since an answer would not arrive. Requests are given up. */
    OUTPUT_STALLED(0, false),
    /** The client closed it: it has gone, and its open requests are given up. */
    PEER_CLOSED(0, false),
    /** Reading or writing failed: as with {@link #PEER_CLOSED}. */
    CONNECTION_FAILED(0, false);

    /** Half of the 3 s within which the protocol owes such a client a refusal, an error or a close. */
    private static final double HOSTILE_MS = 1500;

    private final double drainMs;
    private final boolean readable;

    CloseReason(double drainMs, boolean readable) {
        this.drainMs = drainMs;
        this.readable = readable;
    }

    /** How long open requests may wait for their answers before they are failed, ms; 0: stated elsewhere. */
    double drainMs() {
        return drainMs;
    }

    /** True when messages that still arrive can be read. */
    boolean readable() {
        return readable;
    }
}
