package spanrill.node.session;

/** A viewers' connection as sessions see it. What is sent on one that has ended is dropped. */
public interface ClientLink {
    /** True while what is sent may arrive. */
    boolean open();

    /** The session stands; the server's description. */
    void answer(long session, byte[] description);

    /** A set-up that was open on it was given up, perhaps on another: no answer follows. */
    void withdrawn(long session);

    /** Final answer or end; {@code stayAwayMs} above 0 tells when to come again. */
    void release(long session, End end, double stayAwayMs);

    /** A session that was set up on it stands, or no longer. */
    void standing(boolean more);

    /** The session ends here, its viewer comes again. */
    void move(long session);
}
