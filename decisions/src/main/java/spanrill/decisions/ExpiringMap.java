package spanrill.decisions;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * What is over but may still be asked for: kept for a time, and at most so many; the oldest goes first. Each
 * call costs a constant, taken together.
 */
public final class ExpiringMap<T> {
    private record Kept<T>(T what, double until) {}

    private final double keptMs;
    private final int most;
    private final LinkedHashMap<String, Kept<T>> all = new LinkedHashMap<>();

    /** Keeps each for {@code keptMs}, {@code most} of them at most. */
    public ExpiringMap(double keptMs, int most) {
        if (!(keptMs > 0) || most < 1) {
            throw new IllegalArgumentException("something must be kept for some time");
        }
        this.keptMs = keptMs;
        this.most = most;
    }

    /** It is over now. */
    public void put(double now, String id, T what) {
        all.remove(id);
        all.put(id, new Kept<>(what, now + keptMs));
        drop(now);
    }

    /** What is kept of this id, or null. */
    public T get(double now, String id) {
        drop(now);
        Kept<T> kept = all.get(id);
        return kept == null ? null : kept.what();
    }

    /** The same, and it is kept no longer. */
    public T remove(double now, String id) {
        T what = get(now, id);
        all.remove(id);
        return what;
    }

    private void drop(double now) {
        Iterator<Kept<T>> oldest = all.values().iterator();
        while (oldest.hasNext()) {
            if (oldest.next().until() > now && all.size() <= most) {
                return;
            }
            oldest.remove();
        }
    }

    /** How many are kept. */
    public int size() {
        return all.size();
    }
}
