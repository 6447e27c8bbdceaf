package spanrill.soak;

/** Faults that a trial injects into its node processes and their peers. */
public enum FaultKind {
    /** Sends SIGTERM to a node, SIGKILL after the protocol's grace period, and restarts the node later. */
    NODE_TERMINATED,
    /** Sends SIGKILL to a node without SIGTERM, and restarts the node later. */
    NODE_KILLED,
    /** Pauses a node briefly (SIGSTOP, SIGCONT), as if other processes used its core. */
    NODE_PAUSED,
    /** Moves discovery to a new address, writes it to a node's configuration and sends SIGHUP. */
    NODE_RECONFIGURED,
    /** A server accepts set-ups and answers none. */
    SERVER_HANGS,
    /** A server receives and sends nothing while its connections stay open, as in a network partition. */
    SERVER_SILENT,
    /** A server's process dies; another server with a new id takes over its address. */
    SERVER_REPLACED,
    /** A server resets its connections and keeps running. */
    SERVER_RESETS,
    /** A server drains and is then removed. */
    SERVER_DRAINED,
    /** Discovery closes its event streams in the middle of an event and accepts new requests at once. */
    DISCOVERY_CUT,
    /** Open event streams send nothing more; a new request is answered. */
    DISCOVERY_FROZEN,
    /** Discovery refuses connections. */
    DISCOVERY_DOWN,
    /** Discovery accepts connections and answers nothing. */
    DISCOVERY_MUTE,
    /** Hundreds of client connections that send nothing. */
    CLIENT_CROWD,
    /** A client that sends invalid input. */
    BAD_CLIENT
}
