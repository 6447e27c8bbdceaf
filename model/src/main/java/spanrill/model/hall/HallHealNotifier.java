package spanrill.model.hall;

import java.util.ArrayList;
import java.util.List;

/**
 * Tells viewers' devices when their hall is reached again: a player without a network doesn't draw waits,
 * it tries
 * at once when the network is back, together with all others of the hall. Safe from any thread.
 */
public final class HallHealNotifier {
    private final boolean[] cut;
    private final List<List<Runnable>> waiting = new ArrayList<>();

    /** Watches so many halls. */
    public HallHealNotifier(int halls) {
        cut = new boolean[halls];
        for (int i = 0; i < halls; i++) {
            waiting.add(new ArrayList<>());
        }
    }

    /** A hall is cut off. */
    public synchronized void onIsolated(int hall) {
        cut[hall] = true;
    }

    /** It is healed: all who waited are told, outside of the lock. */
    public void onHealed(int hall) {
        List<Runnable> due;
        synchronized (this) {
            cut[hall] = false;
            due = new ArrayList<>(waiting.get(hall));
            waiting.get(hall).clear();
        }
        due.forEach(Runnable::run);
    }

    /** Runs the action when the hall heals; false, and nothing is kept, when it isn't cut. */
    public synchronized boolean runWhenHealed(int hall, Runnable action) {
        if (cut[hall]) {
            waiting.get(hall).add(action);
        }
        return cut[hall];
    }
}
