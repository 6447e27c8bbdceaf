package spanrill.session;

/**
 * Time and timers. All timers run one after the other, never two at once, on the one thread (or within the
 * one run of events) that also makes every call of the core.
 */
public interface Scheduler {
    /** A timer that was set. */
    interface Timer {
        /** Stops it; nothing happens when it ran already. */
        void cancel();
    }

    /** Now, milliseconds; only advances. */
    double now();

    /** Runs an action once after a time, in milliseconds; at once in its turn when that is not above 0. */
    Timer schedule(double ms, Runnable action);
}
