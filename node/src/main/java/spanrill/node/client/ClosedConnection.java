package spanrill.node.client;

import spanrill.decisions.CloseReason;

/**
 * What is logged of a client connection that has ended.
 *
 * @param id of the connection
 * @param reason why it ended
 * @param last what ended it at last: differs from the reason where the client closed first
 * @param openRequests requests that were given up with it
 * @param discardedRequests requests that crossed its end: read when nothing could be written any more
 * @param messages messages that came on it
 * @param ageMs time since it was accepted, ms
 */
record ClosedConnection(
        String id,
        CloseReason reason,
        CloseReason last,
        int openRequests,
        int discardedRequests,
        long messages,
        double ageMs) {
    /** True when it says more than that a client was done: requests were affected, or this node ended it. */
    boolean notable() {
        return openRequests > 0 || discardedRequests > 0 || reason != CloseReason.PEER_CLOSED;
    }
}
