package spanrill.soak;

import java.util.ArrayList;
import java.util.List;

/** Records the events of a trial in order. Only the event loop of the peers may add events. */
public final class EventLog {
    private static final double NANOS_PER_MS = 1e6;

    private final long startNanos = System.nanoTime();
    private final List<SoakEvent> events = new ArrayList<>();

    /** Returns the time since the trial began, ms. */
    public double elapsedMs() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }

    /** Records an event that concerns a request or session. */
    void add(EventKind kind, int node, String peer, long session, int connection, int code) {
        events.add(new SoakEvent(elapsedMs(), kind, node, peer, session, connection, code));
    }

    /** Records an event that concerns a process or peer. */
    void add(EventKind kind, int node, String peer, int code) {
        add(kind, node, peer, 0, 0, code);
    }

    /** Returns a copy of all events so far. */
    public List<SoakEvent> snapshot() {
        return List.copyOf(events);
    }
}
