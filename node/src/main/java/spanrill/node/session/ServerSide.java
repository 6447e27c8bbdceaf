package spanrill.node.session;

/** The servers as sessions see them. What comes of an attempt is told to the {@link SessionHost}. */
public interface ServerSide {
    /** Sends a set-up; exactly one of {@code answered} and {@code ended} follows, unless it is given up. */
    void setUp(Attempt attempt);

    /**
     * Gives an attempt up; nothing is told of it any more.
     *
     * @return true when nothing of it was written: proof that it never ran
     */
    boolean giveUp(Attempt attempt);

    /** Ends a session that stands. */
    void release(String server, long session);

    /** Sets the rung of a session that is being set up or stands. */
    void setRung(String server, long session, int rung);

    /** Sessions stand at a server, or no longer: news of them must be able to arrive. */
    void setEstablishedSessions(String server, int sessions);
}
