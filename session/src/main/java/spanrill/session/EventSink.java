package spanrill.session;

/** Receives log events: the name of the event and its fields, as alternating names and values. */
public interface EventSink {
    /** Logs an event of normal operation. */
    void info(String event, Object... fields);

    /** Logs a fault of this program. {@code cause} may be null. */
    void error(String event, Throwable cause, Object... fields);

    /** Whether events are logged at all. When false, callers can avoid building expensive fields. */
    default boolean isEnabled() {
        return true;
    }

    /** Returns a sink that discards all events. */
    static EventSink none() {
        return new EventSink() {
            @Override
            public boolean isEnabled() {
                return false;
            }

            @Override
            public void info(String event, Object... fields) {}

            @Override
            public void error(String event, Throwable cause, Object... fields) {}
        };
    }
}
