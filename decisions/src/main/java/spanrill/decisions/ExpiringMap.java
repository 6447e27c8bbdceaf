package spanrill.decisions;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * Map of bounded size whose entries expire after a fixed time. When the map is full, the oldest entry is removed.
 * Each call takes amortized constant time.
 */
public final class ExpiringMap<T> {
    private record Entry<T>(T value, double expiresAt) {}

    private final double lifetimeMs;
    private final int capacity;
    private final LinkedHashMap<String, Entry<T>> entries = new LinkedHashMap<>();

    /** Creates a map that keeps at most {@code capacity} entries, each for {@code lifetimeMs}. */
    public ExpiringMap(double lifetimeMs, int capacity) {
        if (!(lifetimeMs > 0) || capacity < 1) {
            throw new IllegalArgumentException("lifetime and capacity of an expiring map must be > 0");
        }
        this.lifetimeMs = lifetimeMs;
        this.capacity = capacity;
    }

    /** Adds or replaces the value of an id; its lifetime starts now. */
    public void put(double now, String id, T value) {
        entries.remove(id);
        entries.put(id, new Entry<>(value, now + lifetimeMs));
        removeExpired(now);
    }

    /** The value of this id, or null. */
    public T get(double now, String id) {
        removeExpired(now);
        Entry<T> entry = entries.get(id);
        return entry == null ? null : entry.value();
    }

    /** Removes and returns the value of this id, or null. */
    public T remove(double now, String id) {
        T value = get(now, id);
        entries.remove(id);
        return value;
    }

    private void removeExpired(double now) {
        Iterator<Entry<T>> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext()) {
            if (oldestFirst.next().expiresAt() > now && entries.size() <= capacity) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /** Number of entries, including expired ones that no call has removed yet. */
    public int size() {
        return entries.size();
    }
}
