package spanrill.model.hall;

import java.util.ArrayList;
import java.util.List;

/**
 * Notifies viewers' devices when their hall is no longer isolated. A player without a network does not back off for
 * a random time: it retries as soon as the network is back, at the same moment as all others of the hall.
 *
 * <p>Thread-safe.
 */
public final class HallHealNotifier {
    private final boolean[] isolated;
    private final List<List<Runnable>> waiting = new ArrayList<>();

    /** Creates a notifier for {@code halls} halls, none of them isolated. */
    public HallHealNotifier(int halls) {
        isolated = new boolean[halls];
        for (int i = 0; i < halls; i++) {
            waiting.add(new ArrayList<>());
        }
    }

    /** Marks a hall as isolated. */
    public synchronized void onIsolated(int hall) {
        isolated[hall] = true;
    }

    /** Marks a hall as reachable and runs all waiting actions of the hall, outside the lock. */
    public void onHealed(int hall) {
        List<Runnable> actions;
        synchronized (this) {
            isolated[hall] = false;
            actions = new ArrayList<>(waiting.get(hall));
            waiting.get(hall).clear();
        }
        actions.forEach(Runnable::run);
    }

    /** Runs the action when the hall heals. Returns false and drops the action if the hall is not isolated. */
    public synchronized boolean runWhenHealed(int hall, Runnable action) {
        if (isolated[hall]) {
            waiting.get(hall).add(action);
        }
        return isolated[hall];
    }
}
