package spanrill.decisions;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Releases of sessions that wait for a connection to their server. A release that ends a session for its viewer asks
 * for a connection, at growing intervals for a limited time; any other one, and a release whose time has passed, waits
 * for a connection that is opened anyway. Times are in ms of one monotonic clock.
 */
public final class ServerReleaseQueue {
    private final double lifetimeMs;
    private final double minRetryDelayMs;
    private final int capacity;
    /** The end of the time for which a connection is asked for, by session. */
    private final Map<Long, Double> connectUntil = new LinkedHashMap<>();

    private double retryDelayMs;
    private double nextConnectAt;

    /**
     * Creates an empty queue.
     *
     * @param lifetimeMs time for which a release asks for a connection
     * @param minRetryDelayMs time between the first two connections; the following ones are twice as far apart each
     * @param capacity maximum number of releases; further ones are dropped
     */
    public ServerReleaseQueue(double lifetimeMs, double minRetryDelayMs, int capacity) {
        this.lifetimeMs = lifetimeMs;
        this.minRetryDelayMs = minRetryDelayMs;
        this.capacity = capacity;
        resetRetryDelay();
    }

    /** Adds a release for which a connection is opened. The intervals start again when no other one needs any. */
    public void addRequired(double now, long session) {
        if (!hasRequired(now)) {
            resetRetryDelay();
        }
        add(session, now + lifetimeMs);
    }

    /** Adds a release for which no connection is opened; a required release of the session stays required. */
    public void addOptional(long session) {
        add(session, connectUntil.getOrDefault(session, Double.NEGATIVE_INFINITY));
    }

    private void add(long session, double until) {
        if (connectUntil.size() < capacity || connectUntil.containsKey(session)) {
            connectUntil.put(session, until);
        }
    }

    /** True when a connection should be opened now for the releases. */
    public boolean needsConnection(double now) {
        return now >= nextConnectAt && hasRequired(now);
    }

    private boolean hasRequired(double now) {
        return connectUntil.values().stream().anyMatch(until -> now < until);
    }

    private void resetRetryDelay() {
        retryDelayMs = minRetryDelayMs;
        nextConnectAt = Double.NEGATIVE_INFINITY;
    }

    /** Records that a connection is being opened for the releases. */
    public void onConnecting(double now) {
        nextConnectAt = now + retryDelayMs;
        retryDelayMs *= 2;
    }

    /** Removes and returns all sessions, in the order in which they were added: a connection is established. */
    public List<Long> takeAll() {
        List<Long> sessions = List.copyOf(connectUntil.keySet());
        connectUntil.clear();
        resetRetryDelay();
        return sessions;
    }

    /** True when no release waits. */
    public boolean isEmpty() {
        return connectUntil.isEmpty();
    }
}
