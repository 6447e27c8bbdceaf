package spanrill.soak;

/** What can be seen at the sockets of a trial, and what was done to its processes. */
public enum EventKind {
    /** The last byte of a set-up was written to an accepted connection; the code is its wait, ms. */
    CLIENT_SENT,
    /** A set-up was written under the id of an open request, once more. */
    CLIENT_REPEATED,
    /** A set-up of a session that stands already was written. */
    CLIENT_HANDED_OVER,
    /** A client heard that its session stands. */
    CLIENT_ANSWERED,
    /** A client heard a release; the code is its cause. */
    CLIENT_RELEASED,
    /** A client heard that its session moves. */
    CLIENT_MOVED,
    /** A client gave an open request up, or ended its session. */
    CLIENT_CANCELLED,
    /** A client closed its connection. */
    CLIENT_CLOSED,
    /** The node ended a client connection; the code is 1 for a reset. */
    NODE_CLOSED,
    /** A connection to a node was refused. */
    CLIENT_TURNED_AWAY,
    /** A whole set-up arrived at a server. */
    SERVER_SET_UP,
    /** The node gave an attempt up, by message or by closing its connection. */
    SERVER_GIVEN_UP,
    /** A server started late: it is cold from now on. */
    SERVER_STARTED,
    /** A server wrote its answer, or the end of an attempt; the code is the cause, 0 for an answer. */
    SERVER_ANSWERED,
    /** A server wrote the end of a session that stood; the code is the cause. */
    SERVER_ENDED,
    /** The node ended a session that stood. */
    SERVER_TOLD_TO_END,
    /** A server's process died, or its connections were reset. */
    SERVER_LOST,
    /** A node process was started. */
    NODE_STARTED,
    /** A node passed its first test. */
    NODE_READY,
    /** SIGTERM was sent. */
    NODE_TERM,
    /** SIGKILL was sent, to a process that lived. */
    NODE_KILL,
    /** A process ended; the code is its exit code. */
    NODE_EXIT,
    /** SIGHUP was sent. */
    NODE_HUP,
    /** Discovery has an event. */
    DISCOVERY_EVENT,
    /** A bad client was there; the code is 1 when it got its refusal, error or close in time. */
    BAD_CLIENT_DONE,
    /** A bad client was served. */
    BAD_CLIENT_SERVED,
    /** A fault of the plan begins. */
    FAULT
}
