package spanrill.soak;

import java.util.List;

/**
 * A server as published by discovery.
 *
 * @param ports loopback port of the server for each node, by index of the node
 * @param cell the cell that the server belongs to
 * @param startedAtMs Unix time in ms at which the server started during the trial, 0 if before it
 */
record ServerEntry(String id, List<Integer> ports, int cell, ServerState state, long startedAtMs) {
    /** Returns the entry as JSON for one node, with the port that this node connects to. */
    String toJson(int nodeIndex) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + ports.get(nodeIndex)
                + "\",\"locality\":\"a\",\"flavor\":\"std\",\"cell\":" + cell + ",\"phase\":\"" + state.wireName()
                + "\",\"size\":1,\"up_since_ms\":" + startedAtMs + "}";
    }
}
