package spanrill.soak;

/** Faults that a trial injects into its node processes and their peers. */
public enum FaultKind {
    /** Sends SIGTERM to a node, SIGKILL after the protocol's grace period, and restarts the node later. */
    NODE_TERMINATED,
    /** Sends SIGKILL to a node without SIGTERM, and restarts the node later. */
    NODE_KILLED,
    /** Pauses a node (SIGSTOP, SIGCONT), as if other processes used its core or its machine stood still. */
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
    /**
     * Several servers vanish at once, as machines without power do: their sessions are lost, open connections stay
     * silent and new ones are never established. Discovery publishes late that they are gone. They start again under
     * their ids and at their addresses, which discovery publishes a little later.
     */
    SERVER_GROUP_VANISHES,
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
    /** Discovery ends its event streams and answers each new request late. */
    DISCOVERY_SLOW,
    /** Open event streams send nothing more, and connections to discovery are not established. */
    DISCOVERY_UNREACHABLE,
    /** Hundreds of client connections that send nothing. */
    CLIENT_CROWD,
    /** A client that sends invalid input. */
    BAD_CLIENT
}
