package spanrill.decisions;

/**
 * Stages of the shutdown of a node: serve while requests may still arrive, then drain all client connections,
 * and end when none is open, or shortly before the process is killed. Times are in ms since the stop signal.
 *
 * <p>Limits of the protocol: new connections arrive for up to 0.4 s, and requests for 0.2 s longer; requests that
 * arrive within 0.7 s must be answered; the kill follows 0.7 s after the longest deadline at the earliest, where
 * a deadline above 3 s counts as 3 s.
 */
public final class GracefulShutdown {
    /** The next action. */
    public enum Step {
        /** Continue to serve. */
        SERVE,
        /** Stop accepting and drain all client connections; returned once. */
        DRAIN,
        /** Wait for the drained connections to end. */
        AWAIT,
        /** End the process. */
        END
    }

    /**
     * Remaining work of a node.
     *
     * @param clientConnections client connections that have not ended
     * @param openRequests requests without a final answer
     * @param pendingServerReleases sessions whose release has yet to be sent to a server
     * @param unflushed true while output is buffered in this process
     */
    public record View(int clientConnections, int openRequests, int pendingServerReleases, boolean unflushed) {
        private boolean clientsFinished() {
            return clientConnections == 0 && openRequests == 0 && !unflushed;
        }
    }

    private static final double MAX_DEADLINE_MS = 3000;
    private static final double KILL_DELAY_MS = 700;
    /** The 0.7 s within which requests must be answered, plus 0.2 s for which a request may remain unread. */
    private static final double SERVE_MS = 900;
    /** The last answers are given this long before the kill, because other processes may share the core. */
    private static final double ANSWER_MARGIN_MS = 200;
    /** With short deadlines the drain starts this long before the last answers, so that clients go elsewhere. */
    private static final double DRAIN_MARGIN_MS = 100;

    private static final double END_MARGIN_MS = 50;

    private final double killMs;
    private final double signalWaitMs;
    private boolean drainRequested;
    private boolean draining;

    /**
     * Creates a plan.
     *
     * @param longestDeadlineMs the longest deadline of all classes, ms
     * @param maxSignalWaitMs longest time for which the signal may have waited because this process paused, ms
     */
    public GracefulShutdown(double longestDeadlineMs, double maxSignalWaitMs) {
        killMs = Math.min(MAX_DEADLINE_MS, longestDeadlineMs) + KILL_DELAY_MS;
        // The process still runs, so the signal was not sent so long ago that no time is left for answers.
        signalWaitMs = Math.min(maxSignalWaitMs, answerDeadlineMs() - DRAIN_MARGIN_MS);
    }

    /** Time for which the signal is assumed to have waited, ms: the plan begins that long before it was handled. */
    public double signalWaitMs() {
        return signalWaitMs;
    }

    /** Time of the last answers, ms since the stop signal: no attempt and no request may take longer. */
    public double answerDeadlineMs() {
        return killMs - ANSWER_MARGIN_MS;
    }

    /**
     * Records that the connections drain: requests that have arrived are read, and no further connection is accepted.
     */
    public void onDraining() {
        draining = true;
    }

    /** The next action, {@code sinceMs} after the stop signal. */
    public Step nextStep(double sinceMs, View view) {
        if (!drainRequested) {
            drainRequested = sinceMs >= Math.min(SERVE_MS, answerDeadlineMs() - DRAIN_MARGIN_MS);
            return drainRequested ? Step.DRAIN : Step.SERVE;
        }
        if (sinceMs >= killMs - END_MARGIN_MS) {
            return Step.END;
        }
        if (!draining) {
            return Step.AWAIT;
        }
        boolean pastAnswerDeadline = sinceMs >= answerDeadlineMs();
        if (view.clientsFinished() && (pastAnswerDeadline || view.pendingServerReleases() == 0)) {
            return Step.END;
        }
        return Step.AWAIT;
    }
}
