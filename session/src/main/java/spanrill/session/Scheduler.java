package spanrill.session;

/**
 * A clock with timers. Timers never run concurrently: they run on the same thread, or in the same sequence of simulated
 * events, as every call of the core.
 */
public interface Scheduler {
    /** A scheduled action. */
    interface Timer {
        /** Cancels the action. Does nothing when the action ran already. */
        void cancel();
    }

    /** Current time in milliseconds. Never goes back. */
    double now();

    /** Runs an action once after a delay in milliseconds. A delay of 0 or less puts it behind the actions now due. */
    Timer schedule(double delayMs, Runnable action);
}
