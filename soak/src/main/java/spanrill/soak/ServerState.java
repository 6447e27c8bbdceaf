package spanrill.soak;

/** State of a server as discovery tells it, with its word on the wire. */
enum ServerState {
    SERVING("SERVING"),
    DRAINING("DRAINING"),
    GONE("DELETED");

    private final String word;

    ServerState(String word) {
        this.word = word;
    }

    String word() {
        return word;
    }
}
