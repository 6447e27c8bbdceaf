package spanrill.decisions;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds sessions whose players have left: HTTP players stop sending requests without closing the session.
 * Sessions are kept in order of their last activity, so that a check visits only the idle ones.
 */
public final class IdleSessionTracker {
    private final double idleTimeoutMs;
    private final LinkedHashMap<String, Double> lastActivity = new LinkedHashMap<>(16, 0.75f, true);

    /** Creates a tracker; a session without activity for {@code idleTimeoutMs} is idle. */
    public IdleSessionTracker(double idleTimeoutMs) {
        this.idleTimeoutMs = idleTimeoutMs;
    }

    /** Records activity of a session. */
    public void touch(double now, String session) {
        lastActivity.put(session, now);
    }

    /** Stops tracking a session that has ended for another reason. */
    public void remove(String session) {
        lastActivity.remove(session);
    }

    /** Removes and returns the sessions that are idle now. */
    public List<String> removeIdle(double now) {
        List<String> idle = new ArrayList<>();
        for (Map.Entry<String, Double> entry : lastActivity.entrySet()) {
            if (now - entry.getValue() < idleTimeoutMs) {
                break;
            }
            idle.add(entry.getKey());
        }
        idle.forEach(lastActivity::remove);
        return idle;
    }
}
