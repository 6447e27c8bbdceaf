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
    /** Dropped after the answer, since descriptions may be long and sessions last. */
    private SetUp setUp;

    ClientLink link;
    Attempt attempt;
    String server;
    int rung = -1;
    double sentAt;
    double establishedAt;
    Scheduler.Timer deadlineTimer;
    Scheduler.Timer giveUpTimer;

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

    /** Id of the session in the module: 16 hex digits. */
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

    /** Drops the set-up, the attempt and their timers, after the answer or the end. */
    void clearSetUp() {
        setUp = null;
        attempt = null;
        cancel(deadlineTimer);
        cancel(giveUpTimer);
        deadlineTimer = null;
        giveUpTimer = null;
    }

    /** Drops the current attempt and its timer, after the end of the attempt. */
    void clearAttempt() {
        attempt = null;
        cancel(giveUpTimer);
        giveUpTimer = null;
    }

    private static void cancel(Scheduler.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }
}
