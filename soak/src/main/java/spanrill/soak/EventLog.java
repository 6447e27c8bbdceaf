package spanrill.soak;

import java.util.ArrayList;
import java.util.List;

/** What was seen in a trial, in order. Kept by one thread, the peers' loop. */
public final class EventLog {
    private static final double NANOS_PER_MS = 1e6;

    private final long began = System.nanoTime();
    private final List<SoakEvent> events = new ArrayList<>();

    /** Time since the trial began, ms. */
    public double now() {
        return (System.nanoTime() - began) / NANOS_PER_MS;
    }

    /** Something concerns a request or session. */
    void add(EventKind kind, int node, String peer, long session, int connection, int code) {
        events.add(new SoakEvent(now(), kind, node, peer, session, connection, code));
    }

    /** Something concerns a process or peer. */
    void add(EventKind kind, int node, String peer, int code) {
        add(kind, node, peer, 0, 0, code);
    }

    /** All so far. */
    public List<SoakEvent> all() {
        return List.copyOf(events);
    }
}
