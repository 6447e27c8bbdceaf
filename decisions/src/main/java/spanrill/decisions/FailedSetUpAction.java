package spanrill.decisions;

import spanrill.SessionControl.Outcome;
import spanrill.decisions.OutcomeTable.Stage;

/** What to do about a set-up that ended without playing, before its outcome is reported. */
public enum FailedSetUpAction {
    /** Report the outcome without contacting the box: the attempt never ran, or was not sent. */
    REPORT,
    /** The box may run the attempt: send a cancellation and report without waiting for the answer. */
    CANCEL,
    /**
     * The box may run the attempt, and the attempt spends: query the box first, as its answer can prove that the
     * attempt never ran ({@link CancellationProof}).
     */
    QUERY_BOX;

    /**
     * Chooses the action.
     *
     * @param stage how far the attempt had got
     * @param outcome the outcome according to {@link OutcomeTable}
     * @param spends true when the set-up spends something
     */
    public static FailedSetUpAction choose(Stage stage, Outcome outcome, boolean spends) {
        boolean sent = stage == Stage.WRITTEN || stage == Stage.ANSWERING;
        if (!sent || outcome.neverRan()) {
            return REPORT;
        }
        // The start of a success answer shows that the attempt ran; no answer of the box can prove otherwise.
        return spends && stage == Stage.WRITTEN ? QUERY_BOX : CANCEL;
    }
}
