package spanrill.decisions;

/**
 * State machine of one client connection: open, draining, closing, closed. No other code decides how a client
 * connection ends.
 *
 * <p>While the connection drains, new requests are refused and each open request gets its final answer. When all
 * output is flushed, the output is shut down. The input is then read and discarded until the client closes the
 * connection or a time limit has passed, because closing a socket with unread input sends a reset, which may
 * destroy an answer in transit. Times are in ms of one monotonic clock.
 */
public final class ClientConnectionState {
    /** Phase of the connection. */
    public enum Phase {
        /** Requests are served. */
        OPEN,
        /** New requests are refused; open ones get their answers. */
        DRAINING,
        /** The output is shut down; input is discarded until the client closes the connection. */
        CLOSING,
        /** The connection has ended. */
        CLOSED
    }

    /** How a request that arrives now is handled. */
    public enum RequestHandling {
        /** The request is served. */
        SERVE,
        /** The request is refused with a cause after which the client can safely retry. */
        REFUSE,
        /** The request is dropped: nothing can be written any more, or the input can't be read. */
        DISCARD
    }

    /** The next action on the connection. */
    public enum Step {
        /** Nothing. */
        NONE,
        /** Fail the requests that are open on the connection. */
        FAIL_OPEN_REQUESTS,
        /** Read the input that has arrived, then ask for the next step: it may hold a request to refuse. */
        READ_INPUT,
        /** Shut the output down: all answers have been flushed. */
        SHUT_DOWN_OUTPUT,
        /** Close the socket. */
        CLOSE
    }

    /**
     * Conditions that keep a connection from ending.
     *
     * @param openRequests requests received on the connection that have no final answer
     * @param releasesPending true when releases of ended sessions have to be sent on the connection
     * @param unflushed true while output is buffered in this process
     * @param awaitingRequest true when a request is in transit: its message is partly received, or the connection
     *     is so new that its first request can't have arrived
     * @param anythingWritten true when any output was ever written
     * @param inputDrained true when all input that had arrived a moment ago has been read
     */
    public record View(
            int openRequests,
            boolean releasesPending,
            boolean unflushed,
            boolean awaitingRequest,
            boolean anythingWritten,
            boolean inputDrained) {}

    /** Clients close within a round trip after the end of the output; slow ones get this long. */
    private static final double LINGER_MS = 500;
    /** Maximum input discarded while closing: only a client that ignores the end of the output sends more. */
    private static final long MAX_LINGER_BYTES = 1 << 20;
    /** Answers to failed requests are flushed within this time, unless the client does not read. */
    private static final double FLUSH_MS = 500;

    private Phase phase = Phase.OPEN;
    private CloseReason reason;
    private double failAt;
    private double closeAt;
    private long discardedBytes;

    /** Current phase. */
    public Phase phase() {
        return phase;
    }

    /** Why the connection ends, or null while it is open. The first reason is kept. */
    public CloseReason reason() {
        return reason;
    }

    /** How a request that arrives now is handled. */
    public RequestHandling requestHandling() {
        return switch (phase) {
            case OPEN -> RequestHandling.SERVE;
            case DRAINING -> reason.keepsReadingMessages() ? RequestHandling.REFUSE : RequestHandling.DISCARD;
            case CLOSING, CLOSED -> RequestHandling.DISCARD;
        };
    }

    /** True while input can be read as messages. */
    public boolean readable() {
        return phase != Phase.CLOSED && (reason == null || reason.keepsReadingMessages());
    }

    /** True while answers may be written. */
    public boolean writable() {
        return phase == Phase.OPEN || phase == Phase.DRAINING;
    }

    /** Starts to drain the connection, with the time limit for open requests that the reason defines. */
    public void startDrain(double now, CloseReason reason) {
        startDrain(now, reason, reason.drainMs());
    }

    /**
     * Starts to drain the connection; no effect when the drain has already started.
     *
     * @param drainMs time after which open requests are failed
     */
    public void startDrain(double now, CloseReason reason, double drainMs) {
        if (phase == Phase.OPEN) {
            phase = Phase.DRAINING;
            this.reason = reason;
            failAt = now + drainMs;
            closeAt = failAt + FLUSH_MS;
        }
    }

    /** Counts input that was discarded while closing. */
    public void onDiscarded(long bytes) {
        discardedBytes += bytes;
    }

    /** Records that the connection has ended: closed by the client, failed, or closed after {@link Step#CLOSE}. */
    public void onClosed(CloseReason reason) {
        phase = Phase.CLOSED;
        if (this.reason == null) {
            this.reason = reason;
        }
    }

    /** The next action; to be requested after each event on the connection and periodically. */
    public Step nextStep(double now, View view) {
        return switch (phase) {
            case OPEN, CLOSED -> Step.NONE;
            case DRAINING -> nextWhileDraining(now, view);
            case CLOSING -> now >= closeAt || discardedBytes > MAX_LINGER_BYTES ? Step.CLOSE : Step.NONE;
        };
    }

    private Step nextWhileDraining(double now, View view) {
        if (now >= closeAt) {
            return Step.CLOSE;
        }
        if (view.openRequests() > 0) {
            return now >= failAt ? Step.FAIL_OPEN_REQUESTS : Step.NONE;
        }
        boolean outputExpected = reason == CloseReason.SHUTDOWN && (view.releasesPending() || view.awaitingRequest());
        if (view.unflushed() || (outputExpected && now < failAt)) {
            return Step.NONE;
        }
        if (!view.inputDrained()) {
            return Step.READ_INPUT;
        }
        if (!view.anythingWritten()) {
            // No answer is in transit that a reset could destroy.
            return Step.CLOSE;
        }
        phase = Phase.CLOSING;
        closeAt = now + LINGER_MS;
        return Step.SHUT_DOWN_OUTPUT;
    }
}
