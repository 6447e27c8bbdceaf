package spanrill.session;

import java.util.ArrayList;
import java.util.List;
import spanrill.decisions.SessionEnd;
import spanrill.decisions.SessionState;

/** A session as the core holds it. Viewer sides read it; only the core changes it. */
public final class Session {
    private final String id;
    private final ViewerRequest request;
    private final SessionType type;
    private final Title title;
    final SessionState state;
    final double takenAt;
    final List<ViewerCall> waiting = new ArrayList<>(1);
    final List<Runnable> onChange = new ArrayList<>(1);
    /** The request that the module knows it by now; a move makes a new one. */
    String moduleRequest;

    int moves;
    int rung;
    String box;
    String key;
    String firstKey;
    double sentAt;
    BoxClient.Attempt attempt;
    Scheduler.Timer until;
    Scheduler.Timer net;
    double retryAfterMs;
    int starved;
    SessionEnd end;

    Session(String id, ViewerRequest request, SessionType type, Title title, double now) {
        this.id = id;
        this.request = request;
        this.type = type;
        this.title = title;
        state = new SessionState(type.once());
        takenAt = now;
        rung = type.floor();
    }

    /** Its public name: hard to guess, so that knowing it is leave to use it. */
    public String id() {
        return id;
    }

    /** What was asked. */
    public ViewerRequest request() {
        return request;
    }

    /** Its class. */
    public SessionType type() {
        return type;
    }

    /** Its title. */
    public Title title() {
        return title;
    }

    /** The rung in force. */
    public int rung() {
        return rung;
    }

    /** Where it stands. */
    public SessionState.Phase phase() {
        return state.phase();
    }

    /** True after it was answered "plays" and before its end. */
    public boolean inPlay() {
        return state.isEstablished();
    }

    /** Box that it plays at, or is set up at. */
    public String box() {
        return box;
    }

    /** Key of its attempt at the box. */
    public String attemptKey() {
        return key;
    }

    /** Why it is over, or null. */
    public SessionEnd endReason() {
        return end;
    }

    /** How long to stay away before another try, when a move was turned away; 0 otherwise. */
    public double retryAfterMs() {
        return retryAfterMs;
    }

    /** Calls once when a session on the move plays again or is over. */
    public void onChange(Runnable action) {
        onChange.add(action);
    }

    void changed() {
        List<Runnable> due = new ArrayList<>(onChange);
        onChange.clear();
        due.forEach(Runnable::run);
    }
}
