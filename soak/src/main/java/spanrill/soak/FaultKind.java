package spanrill.soak;

/** What a trial does to its processes and peers. */
public enum FaultKind {
    /** SIGTERM; SIGKILL at the protocol's kill time; started again later. */
    NODE_TERMINATED,
    /** SIGKILL without a warning; started again later. */
    NODE_KILLED,
    /** The process is held back for a moment (SIGSTOP, SIGCONT), as where others share its core. */
    NODE_PAUSED,
    /** A new configuration names another address of discovery; SIGHUP. */
    NODE_RECONFIGURED,
    /** A server takes set-ups and answers none. */
    SERVER_HANGS,
    /** A server falls silent, as behind a cut: nothing arrives, nothing is sent, connections stay open. */
    SERVER_SILENT,
    /** A server's process dies; another takes its address under a new id. */
    SERVER_REPLACED,
    /** A server resets its connections and lives on. */
    SERVER_RESETS,
    /** A server drains, then is gone. */
    SERVER_DRAINED,
    /** Discovery ends its event streams in the middle of an event and can be asked again at once. */
    DISCOVERY_CUT,
    /** Open event streams fall silent; a new request is answered. */
    DISCOVERY_FROZEN,
    /** Discovery refuses connections. */
    DISCOVERY_DOWN,
    /** Discovery accepts connections and answers nothing. */
    DISCOVERY_MUTE,
    /** Connections that say nothing, by the hundred. */
    CLIENT_CROWD,
    /** A client that sends what can't be used. */
    BAD_CLIENT
}
