package spanrill.model.hall;

import java.util.ArrayList;
import java.util.List;

/**
 * Latency and reachability between halls. An isolated hall reaches only itself. Isolations of the same hall may
 * overlap; the hall is reachable again when the last of them ends.
 */
public final class HallNetwork {
    private final List<String> names;
    private final double sameMs;
    private final double crossMs;
    private final int[] isolations;

    /** Creates halls with a one-way latency of {@code sameMs} within a hall and {@code crossMs} between two halls. */
    public HallNetwork(List<String> names, double sameMs, double crossMs) {
        this.names = new ArrayList<>(names);
        this.sameMs = sameMs;
        this.crossMs = crossMs;
        isolations = new int[names.size()];
    }

    /** Returns the number of the hall with this name, or -1 if there is none. */
    public int indexOf(String name) {
        return names.indexOf(name);
    }

    /** Returns the name of a hall. */
    public String name(int hall) {
        return names.get(hall);
    }

    /** Returns the number of halls. */
    public int size() {
        return names.size();
    }

    /** Begins an isolation of a hall. */
    public void isolate(int hall) {
        isolations[hall]++;
    }

    /** Ends one isolation of a hall. Returns true if that was the last one and the hall is reachable again. */
    public boolean heal(int hall) {
        if (isolations[hall] == 0) {
            throw new IllegalStateException(names.get(hall) + " is not isolated");
        }
        return --isolations[hall] == 0;
    }

    /** Returns true while a hall is isolated. */
    public boolean isIsolated(int hall) {
        return isolations[hall] > 0;
    }

    /** Returns true if messages from one hall reach the other. */
    public boolean canReach(int from, int to) {
        return from == to || (isolations[from] == 0 && isolations[to] == 0);
    }

    /** Returns the one-way latency between two halls, in ms. */
    public double oneWayMs(int from, int to) {
        return from == to ? sameMs : crossMs;
    }
}
