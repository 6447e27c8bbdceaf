package spanrill.decisions;

import spanrill.SessionControl.Outcome;
import spanrill.decisions.OutcomeTable.Stage;

/** What is done about a set-up that ended without playing, before its outcome is told. */
public enum FailedSetUpAction {
    /** Its outcome is told as it is: it never ran, or nothing of it left this front. */
    REPORT,
    /** The box may run it: it is told to end it, and nobody waits for its word. */
    CANCEL,
    /**
     * The box may run it and it spends: the box is asked, and its word can be proof ({@link CancellationProof}).
     */
    QUERY_BOX;

    /**
     * Chooses.
     *
     * @param stage how far it had come
     * @param outcome what happened amounts to, as {@link OutcomeTable} reads it
     * @param spends true when the set-up spends something
     */
    public static FailedSetUpAction choose(Stage stage, Outcome outcome, boolean spends) {
        boolean sent = stage == Stage.WRITTEN || stage == Stage.ANSWERING;
        if (!sent || outcome.neverRan()) {
            return REPORT;
        }
        // With the head of a success seen it ran: no word of the box can prove otherwise.
        return spends && stage == Stage.WRITTEN ? QUERY_BOX : CANCEL;
    }
}
