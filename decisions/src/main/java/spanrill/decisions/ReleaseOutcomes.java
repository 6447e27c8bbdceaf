package spanrill.decisions;

import spanrill.SessionControl.Outcome;

/** Maps the cause of a server's release to an outcome: one table for causes before the answer, one for after. */
public final class ReleaseOutcomes {
    private ReleaseOutcomes() {}

    /**
     * Outcome of a release before the answer. Only the causes 34 (the server is full) and 102 (the set-up was never
     * sent) prove that the attempt never ran.
     */
    public static Outcome beforeAnswer(int cause) {
        return switch (cause) {
            case 34 -> Outcome.FULL;
            case 47 -> Outcome.ERROR;
            case 102 -> Outcome.MOOT;
            default -> Outcome.RESET;
        };
    }

    /** Outcome of a release after the answer: how the session ended. */
    public static Outcome afterAnswer(int cause) {
        return switch (cause) {
            case 16 -> Outcome.OK;
            case 31 -> Outcome.CANCELLED;
            default -> Outcome.RESET;
        };
    }
}
