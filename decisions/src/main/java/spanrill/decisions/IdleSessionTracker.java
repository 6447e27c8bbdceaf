package spanrill.decisions;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Ends sessions whose players went without a word: HTTP players stop asking, they don't say good-bye. Kept in
 * order of the last sign of life, so that a look costs only what is due.
 */
public final class IdleSessionTracker {
    private final double idleMs;
    private final LinkedHashMap<String, Double> seen = new LinkedHashMap<>(16, 0.75f, true);

    /** A session without a sign of life for {@code idleMs} is over. */
    public IdleSessionTracker(double idleMs) {
        this.idleMs = idleMs;
    }

    /** A sign of life. */
    public void touch(double now, String session) {
        seen.put(session, now);
    }

    /** It is over otherwise. */
    public void remove(String session) {
        seen.remove(session);
    }

    /** The sessions that are over by now; they are watched no more. */
    public List<String> removeIdle(double now) {
        List<String> due = new ArrayList<>();
        for (Map.Entry<String, Double> entry : seen.entrySet()) {
            if (now - entry.getValue() < idleMs) {
                break;
            }
            due.add(entry.getKey());
        }
        due.forEach(seen::remove);
        return due;
    }
}
