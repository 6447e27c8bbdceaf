package spanrill.decisions;

/**
 * The stages in which a node that was asked to stop ends. It serves on while requests may come, then takes no
 * new connection, ends once nothing is owed and nothing lies unsent, and gives what is still owed its answer
 * before it is killed.
 *
 * <p>New connections may come for 0.4 s after the stop, requests on open ones for 0.2 s longer; what came
 * within 0.7 s must be answered. The kill comes no earlier than the longest deadline (3 s at least) and 0.7 s
 * after the stop.
 */
public final class StopStages {
    /** What to do now. */
    public enum Step {
        /** Serve on. */
        SERVE,
        /** Take no new connection from now on; told once. */
        CLOSE_LISTENER,
        /** Serve what is open. */
        FINISH,
        /** Answer whatever is still owed: no time is left for a better answer. */
        ANSWER_ALL,
        /** End. */
        END
    }

    /**
     * What a node still has to do.
     *
     * @param answers answers owed to viewers
     * @param releases sessions that are over, of which a peer has yet to be told
     * @param unsent true while what was said lies in buffers of this process
     * @param quietMs time since something came from a viewer, or a connection was accepted
     */
    public record View(int answers, int releases, boolean unsent, double quietMs) { }

    // The 0.7 s within which what comes must be answered, and 0.2 s for which it may lie unread.
    private static final double COMING_MS = 900;
    private static final double LEAST_DEADLINE_MS = 3000;
    private static final double KILL_MS = 700;
    // A request taken 0.7 s after the stop waits until the kill: it is answered so long before, in time for
    // the answer to go out where other processes share the core.
    private static final double ANSWER_MS = 200;
    private static final double MARGIN_MS = 50;
    // Two looks of the node's: what a round of the loop has yet to read is not overlooked.
    private static final double QUIET_MS = 40;

    private final double killMs;
    private Step last = Step.SERVE;

    /** For the longest deadline of a class, ms. */
    public StopStages(double deadlineMs) {
        killMs = Math.max(LEAST_DEADLINE_MS, deadlineMs) + KILL_MS;
    }

    /** What to do now, so long after it was asked to stop. */
    public Step look(double sinceMs, View view) {
        last = next(sinceMs, view);
        return last;
    }

    private Step next(double sinceMs, View view) {
        if (last == Step.SERVE) {
            return sinceMs < COMING_MS ? Step.SERVE : Step.CLOSE_LISTENER;
        }
        boolean owes = view.answers() > 0 || view.unsent();
        boolean late = sinceMs >= killMs - ANSWER_MS;
        if (sinceMs >= killMs - MARGIN_MS || (late && !owes)
                || (!owes && view.releases() == 0 && view.quietMs() >= QUIET_MS)) {
            return Step.END;
        }
        return late && view.answers() > 0 ? Step.ANSWER_ALL : Step.FINISH;
    }
}
