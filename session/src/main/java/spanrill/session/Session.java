package spanrill.session;

import java.util.ArrayList;
import java.util.List;
import spanrill.decisions.SessionEnd;
import spanrill.decisions.SessionState;

/** State of one session in the core. Viewer sides read it; only the core changes it. */
public final class Session {
    private final String id;
    private final ViewerRequest request;
    private final SessionType type;
    private final Title title;
    final SessionState state;
    final double receivedAt;
    final List<ViewerCall> pendingCalls = new ArrayList<>(1);
    final List<Runnable> changeListeners = new ArrayList<>(1);
    /** Identifier of the session's current request to the module. Each move makes a new request. */
    String moduleRequestId;

    int moves;
    int rung;
    String box;
    String attemptKey;
    String firstAttemptKey;
    double sentAt;
    BoxClient.Attempt attempt;
    Scheduler.Timer timeout;
    Scheduler.Timer deadlineGuard;
    double retryAfterMs;
    int starvedReports;
    SessionEnd endReason;

    Session(String id, ViewerRequest request, SessionType type, Title title, double now) {
        this.id = id;
        this.request = request;
        this.type = type;
        this.title = title;
        state = new SessionState(type.once());
        receivedAt = now;
        rung = type.floor();
    }

    /** Public id of the session. It is hard to guess, so knowing it authorizes its use. */
    public String id() {
        return id;
    }

    /** The viewer's request. */
    public ViewerRequest request() {
        return request;
    }

    /** Class of the session. */
    public SessionType type() {
        return type;
    }

    /** Title that is played. */
    public Title title() {
        return title;
    }

    /** Current rung. */
    public int rung() {
        return rung;
    }

    /** Current phase. */
    public SessionState.Phase phase() {
        return state.phase();
    }

    /** True from the answer "plays" until the session ends. */
    public boolean inPlay() {
        return state.isEstablished();
    }

    /** Name of the box that plays the session or sets it up. */
    public String box() {
        return box;
    }

    /** Key of the session's attempt at the box. */
    public String attemptKey() {
        return attemptKey;
    }

    /** Reason for the end of the session, or null while it is active. */
    public SessionEnd endReason() {
        return endReason;
    }

    /** Retry delay of a refusal, in milliseconds; 0 when nothing was refused. */
    public double retryAfterMs() {
        return retryAfterMs;
    }

    /** Runs an action once, when a moving session plays again or ends. */
    public void onChange(Runnable action) {
        changeListeners.add(action);
    }

    void notifyChanged() {
        List<Runnable> actions = new ArrayList<>(changeListeners);
        changeListeners.clear();
        actions.forEach(Runnable::run);
    }
}
