package spanrill.session;

import java.util.function.Consumer;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.OutcomeTable;

/** What the core asks of boxes. All calls and callbacks come one after the other;
 * callbacks may come within a call. */
public interface BoxClient {
    /**
     * An order to set a session up.
     *
     * @param box the box
     * @param key key of the attempt
     * @param request what is wanted
     * @param rung rung
     * @param spends true when it spends something (a paid class's first set-up)
     * @param continues key of the attempt that it goes on with, or null
     */
    record SetUpRequest(String box, String key, ViewerRequest request, int rung, boolean spends, String continues) {}

    /** Hears what comes of an attempt: one of the two, once. */
    interface AttemptListener {
        /** The first media byte came. */
        void onPlaying();

        /** It ended before that. */
        void onEnded(Outcome outcome, Load load);
    }

    /** An attempt that is out. */
    interface Attempt {
        /**
         * Gives it up; its listener hears no more, and the box is told to end it if it may know of it.
         *
         * @param why time-out or called off
         * @return what that amounts to
         */
        Outcome abandon(OutcomeTable.Event why);
    }

    /** Sets a session up. */
    Attempt setUp(BoxClient.SetUpRequest order, AttemptListener listener);

    /** Sets the rung of an attempt. */
    void setRung(String box, String key, int rung);

    /** Releases a session; {@code done} is called once, with the load or null when the box didn't answer. */
    void release(String box, String key, Consumer<Load> done);
}
