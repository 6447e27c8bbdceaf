package spanrill.node.session;

/** The operations of sessions on a client connection. Messages sent after its end are dropped. */
public interface ClientLink {
    /** True while messages can be sent on the connection. */
    boolean isWritable();

    /** Sends the answer that the session is established, with the server's description. */
    void sendAnswer(long session, byte[] description);

    /** A set-up that was open on this connection was withdrawn, here or on another connection: no answer follows. */
    void requestWithdrawn(long session);

    /**
     * Sends the release of a set-up or a session.
     *
     * @param stayAwayMs time after which the client may retry, in ms; 0 for none
     */
    void sendRelease(long session, ReleaseReason reason, double stayAwayMs);

    /** A session that was set up on this connection was established, or an established one has ended. */
    void establishedSessionsChanged(boolean added);

    /** Tells the client that the session moves: it ends here and the client sends a new set-up. */
    void sendMove(long session);
}
