package spanrill.decisions;

import java.util.Optional;

/**
 * Time limits for client connections without useful traffic. The protocol requires a refusal, an error or a
 * close within 3 s for a client that sends nothing useful; well-behaved clients close a connection without a
 * session after 4 s. Times are in ms.
 */
public final class ConnectionTimeouts {
    /** Half of the 3 s that the protocol allows for clients that send nothing useful. */
    private static final double NOTHING_USEFUL_MS = 1500;
    /** The same 3 s minus the possible delay of a busy loop: slow writers may take this long for a message. */
    private static final double MESSAGE_MS = 2500;
    /** More than twice the 4 s after which well-behaved clients close a connection without a session. */
    private static final double IDLE_MS = 10_000;

    private ConnectionTimeouts() {}

    /**
     * State of a connection.
     *
     * @param ageMs time since the connection was accepted
     * @param idleMs time since the last useful message
     * @param openRequests requests open on the connection
     * @param activeSessions established sessions that were set up on the connection
     * @param everUseful true when a usable set-up or a test was received
     * @param partialMessageMs time since the start of an incomplete message, 0 when there is none
     */
    public record View(
            double ageMs,
            double idleMs,
            int openRequests,
            int activeSessions,
            boolean everUseful,
            double partialMessageMs) {}

    /** Why the connection must be closed now, or empty when it may stay open. */
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
