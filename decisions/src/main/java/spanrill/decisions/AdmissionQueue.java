package spanrill.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Who is served next when more come than can be served, and who is told at once that there is no room. Served
 * by the earliest deadline; one whose deadline can't be met any more is shed rather than served in vain,
 * so that
 * work goes to those who still wait. When the room is full the one of the least worth goes, of equals the
 * one with
 * the latest deadline. Each is told once: served, or shed.
 *
 * <p>Used before a request is taken (its token is not verified yet); whom the module refuses is not
 * decided here.
 */
public final class AdmissionQueue<T> {
    /** Weight of a new service time in the average. */
    private static final double WEIGHT = 0.1;

    private record Waiting<T>(T who, double deadline, double worth, long order) {}

    private final int most;
    private final int servers;
    private final TreeSet<Waiting<T>> byDeadline = new TreeSet<>(
            Comparator.<Waiting<T>>comparingDouble(Waiting::deadline).thenComparingLong(Waiting::order));
    private final TreeSet<Waiting<T>> byWorth = new TreeSet<>(Comparator.<Waiting<T>>comparingDouble(Waiting::worth)
            .thenComparing(
                    Comparator.<Waiting<T>>comparingDouble(Waiting::deadline).reversed())
            .thenComparing(Comparator.<Waiting<T>>comparingLong(Waiting::order).reversed()));
    private final Map<T, Waiting<T>> all = new HashMap<>();
    private double serviceMs;
    private long orders;

    /**
     * A room.
     *
     * @param most who may wait
     * @param servers who serve at once
     * @param serviceMs a first guess at how long one takes
     */
    public AdmissionQueue(int most, int servers, double serviceMs) {
        if (most < 1 || servers < 1 || !(serviceMs > 0)) {
            throw new IllegalArgumentException("a room needs places, servers and a service time");
        }
        this.most = most;
        this.servers = servers;
        this.serviceMs = serviceMs;
    }

    /** One comes. Gives who is shed by that, the comer included; empty when all may wait. */
    public List<T> enqueue(double now, T who, double deadline, double worth) {
        List<T> shed = new ArrayList<>();
        if (now + serviceMs > deadline) {
            shed.add(who);
            return shed;
        }
        Waiting<T> waiting = new Waiting<>(who, deadline, worth, orders++);
        if (all.putIfAbsent(who, waiting) != null) {
            throw new IllegalTransitionException("one waits twice");
        }
        byDeadline.add(waiting);
        byWorth.add(waiting);
        if (all.size() > most) {
            Waiting<T> least = byWorth.first();
            remove(least);
            shed.add(least.who());
        }
        return shed;
    }

    /**
     * A server is free: who is next, or null. Those who can't be served in time any more are put on {@code
     * shed}.
     */
    public T poll(double now, List<T> shed) {
        while (!byDeadline.isEmpty()) {
            Waiting<T> first = byDeadline.first();
            remove(first);
            if (now + serviceMs <= first.deadline()) {
                return first.who();
            }
            shed.add(first.who());
        }
        return null;
    }

    /** One left by itself: it is neither served nor shed. */
    public boolean cancel(T who) {
        Waiting<T> waiting = all.get(who);
        if (waiting == null) {
            return false;
        }
        remove(waiting);
        return true;
    }

    private void remove(Waiting<T> waiting) {
        byDeadline.remove(waiting);
        byWorth.remove(waiting);
        all.remove(waiting.who());
    }

    /** One was served. */
    public void recordServiceTime(double tookMs) {
        serviceMs += WEIGHT * (Math.max(0.001, tookMs) - serviceMs);
    }

    /** How long one who comes now would wait if nobody left, in milliseconds. */
    public double estimatedWaitMs() {
        return all.size() * serviceMs / servers;
    }

    /** Who wait. */
    public int size() {
        return all.size();
    }
}
