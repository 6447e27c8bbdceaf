package spanrill.node.session;

import spanrill.wire.platform.SetUp;

/** One attempt to set a session up at a server. */
public final class Attempt {
    private final NodeSession session;
    private final String server;
    private final double deadline;

    Attempt(NodeSession session, String server, double deadline) {
        this.session = session;
        this.server = server;
        this.deadline = deadline;
    }

    /** Id of the session. */
    public long session() {
        return session.id();
    }

    /** The viewer's set-up. */
    public SetUp setUp() {
        return session.setUp();
    }

    /** Id of the server. */
    public String server() {
        return server;
    }

    /** Time at which the attempt is given up, in ms on the scheduler's clock. */
    public double deadline() {
        return deadline;
    }

    /** The rung that the module has set last, or -1 for the lowest one of the class. */
    public int rung() {
        return session.rung;
    }

    NodeSession owner() {
        return session;
    }
}
