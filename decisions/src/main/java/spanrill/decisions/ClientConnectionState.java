package spanrill.decisions;

/**
 * The life of one client connection: open, draining, closing, closed. It is the only place that decides how
 * such a connection ends.
 *
 * <p>While draining, new requests are refused and each open request gets its final answer. Once what was
 * written is flushed the output is shut down; the input is then read and discarded until the client ends the
 * connection or a bounded time has passed, because closing a socket with unread input resets it and may
 * destroy an answer on its way. Times are in ms of one monotonic clock.
 */
public final class ClientConnectionState {
    /** Where the connection is in its life. */
    public enum Phase {
        /** Requests are served. */
        OPEN,
        /** No new request is taken over; open ones get their answers. */
        DRAINING,
        /** The output is shut down; input is discarded until the client ends the connection. */
        CLOSING,
        /** It has ended. */
        CLOSED
    }

    /** What becomes of a request that arrives now. */
    public enum RequestHandling {
        /** It is served. */
        SERVE,
        /** It is refused with a cause that makes trying again harmless. */
        REFUSE,
        /** It is dropped: nothing can be written any more, or nothing can be read. */
        DISCARD
    }

    /** What the connection has to do now. */
    public enum Step {
        /** Nothing. */
        NONE,
        /** Fail the requests that are open on it. */
        FAIL_OPEN_REQUESTS,
        /** Read what has arrived, then ask again: a request that lies unread is not to cross the end. */
        READ_INPUT,
        /** Shut the output down: all answers have been flushed. */
        SHUT_DOWN_OUTPUT,
        /** Close the socket. */
        CLOSE
    }

    /**
     * What keeps a connection from ending.
     *
     * @param openRequests requests that were delivered on it and have no final answer
     * @param releasesPending true when ended sessions have to be told to a client on it
     * @param unflushed true while bytes lie in buffers of this process
     * @param awaitingRequest true when a request is under way: its message has begun, or the connection is
     *     so new that its first request can't have come
     * @param anythingWritten true when anything was ever written to it
     * @param inputDrained true when all that had arrived a moment ago has been read
     */
    public record View(
            int openRequests,
            boolean releasesPending,
            boolean unflushed,
            boolean awaitingRequest,
            boolean anythingWritten,
            boolean inputDrained) {}

    /** A client that has seen the end of the output closes within a round trip; slow ones get this long. */
    private static final double LINGER_MS = 500;
    /** Input that is discarded at most while closing: more comes only from a client that ignores the end. */
    private static final long LINGER_BYTES = 1 << 20;
    /** Failed requests are answered and flushed within this time, or the client does not read. */
    private static final double FLUSH_MS = 500;

    private Phase phase = Phase.OPEN;
    private CloseReason reason;
    private double failAt;
    private double closeAt;
    private long discardedBytes;

    /** Where the connection is in its life. */
    public Phase phase() {
        return phase;
    }

    /** Why it ends, or null while it is open. The first reason stands. */
    public CloseReason reason() {
        return reason;
    }

    /** What becomes of a request that arrives now. */
    public RequestHandling requestHandling() {
        return switch (phase) {
            case OPEN -> RequestHandling.SERVE;
            case DRAINING -> reason.readable() ? RequestHandling.REFUSE : RequestHandling.DISCARD;
            case CLOSING, CLOSED -> RequestHandling.DISCARD;
        };
    }

    /** True while bytes that arrive can be read as messages. */
    public boolean readable() {
        return phase != Phase.CLOSED && (reason == null || reason.readable());
    }

    /** True while an answer may be written. */
    public boolean writable() {
        return phase == Phase.OPEN || phase == Phase.DRAINING;
    }

    /** Begins to end the connection, with the time for open requests that the reason states. */
    public void startDrain(double now, CloseReason why) {
        startDrain(now, why, why.drainMs());
    }

    /**
     * Begins to end the connection; without effect once that has begun.
     *
     * @param drainMs how long open requests may wait for their answers before they are failed
     */
    public void startDrain(double now, CloseReason why, double drainMs) {
        if (phase == Phase.OPEN) {
            phase = Phase.DRAINING;
            reason = why;
            failAt = now + drainMs;
            closeAt = failAt + FLUSH_MS;
        }
    }

    /** Input of this many bytes was discarded while closing. */
    public void onDiscarded(long bytes) {
        discardedBytes += bytes;
    }

    /** The connection has ended: by the client, by a failure, or as {@link Step#CLOSE} asked. */
    public void onClosed(CloseReason why) {
        phase = Phase.CLOSED;
        if (reason == null) {
            reason = why;
        }
    }

    /** What to do now; to be asked after each event on the connection and now and then. */
    public Step nextStep(double now, View view) {
        return switch (phase) {
            case OPEN, CLOSED -> Step.NONE;
            case DRAINING -> nextWhileDraining(now, view);
            case CLOSING -> now >= closeAt || discardedBytes > LINGER_BYTES ? Step.CLOSE : Step.NONE;
        };
    }

    private Step nextWhileDraining(double now, View view) {
        if (now >= closeAt) {
            return Step.CLOSE;
        }
        if (view.openRequests() > 0) {
            return now >= failAt ? Step.FAIL_OPEN_REQUESTS : Step.NONE;
        }
        boolean waits = reason == CloseReason.SHUTDOWN && (view.releasesPending() || view.awaitingRequest());
        if (view.unflushed() || (waits && now < failAt)) {
            return Step.NONE;
        }
        if (!view.inputDrained()) {
            return Step.READ_INPUT;
        }
        if (!view.anythingWritten()) {
            // No answer is on its way that a reset could destroy.
            return Step.CLOSE;
        }
        phase = Phase.CLOSING;
        closeAt = now + LINGER_MS;
        return Step.SHUT_DOWN_OUTPUT;
    }
}
