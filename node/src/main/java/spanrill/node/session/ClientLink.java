package spanrill.node.session;

/** A viewers' connection as sessions see it. What is sent on one that has ended is dropped. */
public interface ClientLink {
    /** True while what is sent may arrive. */
    boolean isWritable();

    /** The session stands; the server's description. */
    void sendAnswer(long session, byte[] description);

    /** A set-up that was open on it was given up, perhaps on another: no answer follows. */
    void requestWithdrawn(long session);

    /** Final answer or end; {@code stayAwayMs} above 0 tells when to come again. */
    void sendRelease(long session, ReleaseReason end, double stayAwayMs);

    /** A session that was set up on it stands, or no longer. */
    void establishedSessionsChanged(boolean more);

    /** The session ends here, its viewer comes again. */
    void sendMove(long session);
}
