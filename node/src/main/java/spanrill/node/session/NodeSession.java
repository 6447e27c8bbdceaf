package spanrill.node.session;

import java.util.HexFormat;
import spanrill.decisions.SessionState;
import spanrill.session.Scheduler;
import spanrill.wire.platform.SetUp;

/** One session of the node, from its set-up to its end. */
final class NodeSession {
    private final long id;
    private final String name;
    private final String viewer;
    private final SessionState state;
    /** Kept until the answer only: descriptions may be long, sessions last. */
    private SetUp setUp;

    ClientLink link;
    Attempt attempt;
    String server;
    int rung = -1;
    double sentAt;
    double standsSince;
    Scheduler.Timer deadline;
    Scheduler.Timer giveUp;

    NodeSession(SetUp setUp, ClientLink link, boolean once) {
        id = setUp.session();
        name = HexFormat.of().toHexDigits(id);
        viewer = setUp.attributes().viewer();
        this.setUp = setUp;
        this.link = link;
        state = new SessionState(once);
    }

    long id() {
        return id;
    }

    /** Its id in the module: 16 hex digits. */
    String name() {
        return name;
    }

    String viewer() {
        return viewer;
    }

    SessionState state() {
        return state;
    }

    SetUp setUp() {
        return setUp;
    }

    /** It was answered or is over: what only a set-up needs is let go. */
    void settled() {
        setUp = null;
        attempt = null;
        cancel(deadline);
        cancel(giveUp);
        deadline = null;
        giveUp = null;
    }

    /** The attempt at hand has ended. */
    void attemptOver() {
        attempt = null;
        cancel(giveUp);
        giveUp = null;
    }

    private static void cancel(Scheduler.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }
}
