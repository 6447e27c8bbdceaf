package spanrill.session;

import java.util.function.Consumer;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.OutcomeTable;

/**
 * Sends the core's commands to boxes. Calls and callbacks never run concurrently. A callback may run from within a
 * call.
 */
public interface BoxClient {
    /**
     * A request to set a session up.
     *
     * @param box name of the box
     * @param key key of the attempt
     * @param request the viewer's request
     * @param rung rung to start with
     * @param spends true when the set-up spends the token: the first set-up of a class that is paid for at set-up
     * @param continues key of the attempt whose session this one continues after a move, or null
     */
    record SetUpRequest(String box, String key, ViewerRequest request, int rung, boolean spends, String continues) {}

    /** Receives the result of an attempt. Exactly one of the two methods is called, once. */
    interface AttemptListener {
        /** The first media byte arrived. */
        void onPlaying();

        /** The attempt ended before any media arrived. */
        void onEnded(Outcome outcome, Load load);
    }

    /** An open attempt. */
    interface Attempt {
        /**
         * Abandons the attempt. Its listener is not called any more, and a box that may have received the attempt is
         * told to end it.
         *
         * @param reason timed out or cancelled
         * @return the resulting outcome
         */
        Outcome abandon(OutcomeTable.Event reason);
    }

    /** Sends a set-up request to its box. */
    Attempt setUp(SetUpRequest request, AttemptListener listener);

    /** Sends the rung of an attempt to its box. */
    void setRung(String box, String key, int rung);

    /**
     * Releases a session. {@code onReleased} is called once, with the box's load report or with null when the box did
     * not answer.
     */
    void release(String box, String key, Consumer<Load> onReleased);
}
