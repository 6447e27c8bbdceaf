package spanrill.node.session;

import spanrill.wire.platform.SetUp;

/** One attempt to set a session up at a server. */
public final class Attempt {
    private final NodeSession session;
    private final String server;
    private final double until;

    Attempt(NodeSession session, String server, double until) {
        this.session = session;
        this.server = server;
        this.until = until;
    }

    /** The session that it is for. */
    public long session() {
        return session.id();
    }

    /** What the viewer asked for. */
    public SetUp setUp() {
        return session.setUp();
    }

    /** The server's id. */
    public String server() {
        return server;
    }

    /** Time at which it is given up, ms on the scheduler's clock. */
    public double until() {
        return until;
    }

    /** The rung as it is asked for now, or -1: the lowest of the class. */
    public int rung() {
        return session.rung;
    }

    NodeSession owner() {
        return session;
    }
}
