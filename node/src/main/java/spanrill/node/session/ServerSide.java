package spanrill.node.session;

/** The operations of sessions on servers. Outcomes of attempts are reported to the {@link SessionHost}. */
public interface ServerSide {
    /**
     * Sends a set-up. Exactly one of {@link SessionHost#onAnswer} and {@link SessionHost#onAttemptEnded} follows,
     * unless the attempt is given up.
     */
    void setUp(Attempt attempt);

    /**
     * Gives an attempt up; its outcome is not reported any more.
     *
     * @return true when no byte of its set-up was written, which proves that it never ran
     */
    boolean giveUp(Attempt attempt);

    /** Ends an established session. */
    void release(String server, long session);

    /** Sets the rung of a session that is being set up or established. */
    void setRung(String server, long session, int rung);

    /**
     * Sets the number of sessions established at a server; while there are any, a connection to it is kept for reports.
     */
    void setEstablishedSessions(String server, int sessions);
}
