package spanrill.soak;

/** State of a server as published by discovery, with its name on the wire. */
enum ServerState {
    SERVING("SERVING"),
    DRAINING("DRAINING"),
    GONE("DELETED");

    private final String wireName;

    ServerState(String wireName) {
        this.wireName = wireName;
    }

    String wireName() {
        return wireName;
    }
}
