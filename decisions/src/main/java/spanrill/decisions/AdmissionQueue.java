package spanrill.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Bounded queue that serves the earliest deadline first and sheds load under overload. A request whose deadline
 * can no longer be met is shed instead of being served too late, so that the service time goes to requests that
 * are still of use. When the queue is full, the request of the lowest worth is shed; among equals the one with
 * the latest deadline. Each request is either served, shed or cancelled, once.
 *
 * <p>The queue holds requests whose token is not verified yet. Refusals by the module are not decided here.
 */
public final class AdmissionQueue<T> {
    /** Weight of a new service time in the moving average. */
    private static final double NEW_SAMPLE_WEIGHT = 0.1;

    private record Entry<T>(T request, double deadline, double worth, long sequence) {}

    private final int capacity;
    private final int workers;
    private final TreeSet<Entry<T>> byDeadline =
            new TreeSet<>(Comparator.<Entry<T>>comparingDouble(Entry::deadline).thenComparingLong(Entry::sequence));
    private final TreeSet<Entry<T>> byWorth = new TreeSet<>(Comparator.<Entry<T>>comparingDouble(Entry::worth)
            .thenComparing(Comparator.<Entry<T>>comparingDouble(Entry::deadline).reversed())
            .thenComparing(Comparator.<Entry<T>>comparingLong(Entry::sequence).reversed()));
    private final Map<T, Entry<T>> entries = new HashMap<>();
    private double averageServiceMs;
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param capacity maximum number of waiting requests
     * @param workers number of requests that are served in parallel
     * @param averageServiceMs initial estimate of the service time of one request, ms
     */
    public AdmissionQueue(int capacity, int workers, double averageServiceMs) {
        if (capacity < 1 || workers < 1 || !(averageServiceMs > 0)) {
            throw new IllegalArgumentException("capacity, workers and service time of an admission queue must be > 0");
        }
        this.capacity = capacity;
        this.workers = workers;
        this.averageServiceMs = averageServiceMs;
    }

    /**
     * Adds a request.
     *
     * @return the requests that are shed as a result, the new one included; empty when none is
     */
    public List<T> enqueue(double now, T request, double deadline, double worth) {
        List<T> shed = new ArrayList<>();
        if (now + averageServiceMs > deadline) {
            shed.add(request);
            return shed;
        }
        Entry<T> entry = new Entry<>(request, deadline, worth, nextSequence++);
        if (entries.putIfAbsent(request, entry) != null) {
            throw new IllegalTransitionException("the request is already in the admission queue");
        }
        byDeadline.add(entry);
        byWorth.add(entry);
        if (entries.size() > capacity) {
            Entry<T> lowestWorth = byWorth.first();
            remove(lowestWorth);
            shed.add(lowestWorth.request());
        }
        return shed;
    }

    /**
     * Removes and returns the request to serve next, or null. Requests that can no longer be served by their
     * deadline are removed too and added to {@code shed}.
     */
    public T poll(double now, List<T> shed) {
        while (!byDeadline.isEmpty()) {
            Entry<T> earliest = byDeadline.first();
            remove(earliest);
            if (now + averageServiceMs <= earliest.deadline()) {
                return earliest.request();
            }
            shed.add(earliest.request());
        }
        return null;
    }

    /** Removes a request whose sender gave up. Returns false when the request is not in the queue. */
    public boolean cancel(T request) {
        Entry<T> entry = entries.get(request);
        if (entry == null) {
            return false;
        }
        remove(entry);
        return true;
    }

    private void remove(Entry<T> entry) {
        byDeadline.remove(entry);
        byWorth.remove(entry);
        entries.remove(entry.request());
    }

    /** Adds the service time of one request to the average. */
    public void recordServiceTime(double serviceMs) {
        averageServiceMs += NEW_SAMPLE_WEIGHT * (Math.max(0.001, serviceMs) - averageServiceMs);
    }

    /** Estimated wait of a request that is added now, when no request is cancelled, ms. */
    public double estimatedWaitMs() {
        return entries.size() * averageServiceMs / workers;
    }

    /** Number of waiting requests. */
    public int size() {
        return entries.size();
    }
}
