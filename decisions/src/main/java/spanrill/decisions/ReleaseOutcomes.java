package spanrill.decisions;

import spanrill.SessionControl.Outcome;

/** What a server's release says of an attempt: one table for the cause before the answer, one for after. */
public final class ReleaseOutcomes {
    private ReleaseOutcomes() {}

    /** Before the answer: only 34 (full) and 102 (never left) prove that it never ran. */
    public static Outcome beforeAnswer(int cause) {
        return switch (cause) {
            case 34 -> Outcome.FULL;
            case 47 -> Outcome.ERROR;
            case 102 -> Outcome.MOOT;
            default -> Outcome.RESET;
        };
    }

    /** After the answer: how the session ended. */
    public static Outcome afterAnswer(int cause) {
        return switch (cause) {
            case 16 -> Outcome.OK;
            case 31 -> Outcome.CANCELLED;
            default -> Outcome.RESET;
        };
    }
}
