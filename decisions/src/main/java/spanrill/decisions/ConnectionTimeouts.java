package spanrill.decisions;

import java.util.Optional;

/**
 * When a client connection has been of no use for too long. The protocol owes a client that sends nothing
 * usable a refusal, an error or a close within 3 s; usual clients close a connection without a session after
 * 4 s. Times are in ms.
 */
public final class ConnectionTimeouts {
    /** Half of the 3 s owed to clients that send nothing usable. */
    private static final double NOTHING_USEFUL_MS = 1500;
    /** Of the same 3 s, less what a busy loop may be late: slow writers may take this long for a message. */
    private static final double MESSAGE_MS = 2500;
    /** Over twice the 4 s after which usual clients close a connection without a session. */
    private static final double IDLE_MS = 10_000;

    private ConnectionTimeouts() {}

    /**
     * A connection as it stands.
     *
     * @param ageMs time since it was accepted
     * @param idleMs time since the last useful message on it
     * @param openRequests requests open on it
     * @param activeSessions sessions that were set up on it and stand
     * @param everUseful true when something useful came on it: a set-up that could be used, or a test
     * @param partialMessageMs time since a message began that is not complete, 0 where there is none
     */
    public record View(
            double ageMs,
            double idleMs,
            int openRequests,
            int activeSessions,
            boolean everUseful,
            double partialMessageMs) {}

    /** Why the connection has to end now, if it has to. */
    public static Optional<CloseReason> expiryReason(View view) {
        if (view.openRequests() > 0) {
            return Optional.empty();
        }
        if (view.partialMessageMs() >= MESSAGE_MS) {
            return Optional.of(CloseReason.MESSAGE_INCOMPLETE);
        }
        double uselessMs = Math.min(view.ageMs(), view.idleMs());
        if (!view.everUseful() && uselessMs >= (view.partialMessageMs() > 0 ? MESSAGE_MS : NOTHING_USEFUL_MS)) {
            return Optional.of(CloseReason.NOTHING_USEFUL);
        }
        boolean idle = view.activeSessions() == 0 && view.partialMessageMs() == 0 && view.idleMs() >= IDLE_MS;
        return idle ? Optional.of(CloseReason.IDLE) : Optional.empty();
    }
}
