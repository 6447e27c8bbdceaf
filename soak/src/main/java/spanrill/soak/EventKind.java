package spanrill.soak;

/** Kinds of recorded events: traffic on the sockets of a trial and actions on its processes. */
public enum EventKind {
    /** A client wrote the last byte of a set-up to an accepted connection; the code is its deadline in ms. */
    CLIENT_SENT,
    /** A client wrote a second set-up under the id of an open request. */
    CLIENT_REPEATED,
    /** A client wrote the set-up of a session that is already established. */
    CLIENT_HANDED_OVER,
    /** A client received the answer that its session is established. */
    CLIENT_ANSWERED,
    /** A client received a release; the code is its cause. */
    CLIENT_RELEASED,
    /** A client received the message that its session moves. */
    CLIENT_MOVED,
    /** A client cancelled an open request (code 0) or ended its session (code 1). */
    CLIENT_CANCELLED,
    /** A client closed its connection. */
    CLIENT_CLOSED,
    /**
     * A node closed a client connection, or the connection could not be opened. The code is 1 for a reset or a
     * malformed message.
     */
    NODE_CLOSED,
    /** A client could not connect to a node. */
    CLIENT_TURNED_AWAY,
    /** A server received a complete set-up. */
    SERVER_SET_UP,
    /** The bytes of a set-up arrived at a machine that is cut off and processes nothing. */
    SERVER_BYTES,
    /** A node cancelled an attempt, by message or by closing its connection. */
    SERVER_GIVEN_UP,
    /** A server started during the trial, under a new id or again under its own; its cold period begins. */
    SERVER_STARTED,
    /** A server wrote its answer or the end of an attempt; the code is the cause, 0 for an answer. */
    SERVER_ANSWERED,
    /** A server wrote the release of an established session; the code is the cause. */
    SERVER_ENDED,
    /** A server received the release of an established session from a node. */
    SERVER_TOLD_TO_END,
    /** A server's process died, or a server closed or reset a connection with attempts on it. */
    SERVER_LOST,
    /** A node process was started. */
    NODE_STARTED,
    /** A node answered its first readiness probe. */
    NODE_READY,
    /** SIGTERM was sent. */
    NODE_TERM,
    /** SIGKILL was sent to a running process. */
    NODE_KILL,
    /** A node process exited; the code is its exit code. */
    NODE_EXIT,
    /** SIGHUP was sent. */
    NODE_HUP,
    /** SIGSTOP is about to be sent. */
    NODE_STOPPED,
    /** SIGCONT was sent. */
    NODE_CONTINUED,
    /** Discovery published a change of a server; the code is the ordinal of its state. */
    DISCOVERY_EVENT,
    /** A bad client finished; the code is 1 when it was refused or closed in time, or no response was due. */
    BAD_CLIENT_DONE,
    /** A bad client received an answer. */
    BAD_CLIENT_SERVED,
    /** A planned fault begins; the peer is the kind of fault, the code is its duration in ms. */
    FAULT
}
