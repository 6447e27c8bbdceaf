package spanrill.session;

/** Takes what operators may want to see: an event's name and its fields, names and values in turn. */
public interface EventSink {
    /** Something happened. */
    void info(String event, Object... fields);

    /** A fault of this program; {@code cause} may be null. */
    void error(String event, Throwable cause, Object... fields);

    /** False when it keeps nothing, so that what costs something to say need not be built. */
    default boolean isEnabled() {
        return true;
    }

    /** Keeps nothing. */
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
