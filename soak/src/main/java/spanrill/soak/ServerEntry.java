package spanrill.soak;

import java.util.List;

/**
 * A server as discovery tells it.
 *
 * @param ports its address for each node
 * @param cell the cell that it belongs to
 * @param startedAt Unix time of a late start, ms, or 0
 */
record ServerEntry(String id, List<Integer> ports, int cell, ServerState state, long startedAt) {
    /** As a node is told of it. */
    String json(int node) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + ports.get(node)
                + "\",\"locality\":\"a\",\"flavor\":\"std\",\"cell\":" + cell + ",\"phase\":\"" + state.word()
                + "\",\"size\":1,\"up_since_ms\":" + startedAt + "}";
    }
}
