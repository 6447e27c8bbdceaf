package spanrill.node.client;

import spanrill.decisions.CloseReason;

/**
 * The log entry of a client connection that has closed.
 *
 * @param id the id of the connection
 * @param reason why the connection began to end
 * @param closedBy what finally closed the connection; differs from the reason when, for example, the client closed it
 *     during a drain
 * @param openRequests number of requests that were withdrawn because the connection closed
 * @param discardedRequests number of requests read after the output was shut down, when no reply could be sent
 * @param messages number of messages received
 * @param ageMs time since the connection was accepted, ms
 */
record ClosedConnection(
        String id,
        CloseReason reason,
        CloseReason closedBy,
        int openRequests,
        int discardedRequests,
        long messages,
        double ageMs) {
    /**
     * True when requests were affected or this node ended the connection; such entries go to the log, not the trace.
     */
    boolean notable() {
        return openRequests > 0 || discardedRequests > 0 || reason != CloseReason.PEER_CLOSED;
    }
}
