package spanrill.model.hall;

import java.util.ArrayList;
import java.util.List;

/**
 * Halls with one-way times between them, and cuts. A cut hall reaches itself and nothing else; cuts of the
 * same hall may overlap and it is healed when the last of them ends.
 */
public final class HallNetwork {
    private final List<String> names;
    private final double sameMs;
    private final double crossMs;
    private final int[] cuts;

    /** Halls that are {@code sameMs} wide and {@code crossMs} apart, one way. */
    public HallNetwork(List<String> names, double sameMs, double crossMs) {
        this.names = new ArrayList<>(names);
        this.sameMs = sameMs;
        this.crossMs = crossMs;
        cuts = new int[names.size()];
    }

    /** Number of a hall by its name, or -1. */
    public int indexOf(String name) {
        return names.indexOf(name);
    }

    /** Name of a hall. */
    public String name(int hall) {
        return names.get(hall);
    }

    /** How many. */
    public int size() {
        return names.size();
    }

    /** A cut of a hall begins. */
    public void isolate(int hall) {
        cuts[hall]++;
    }

    /** A cut of a hall ends; true when the hall is healed by that. */
    public boolean heal(int hall) {
        if (cuts[hall] == 0) {
            throw new IllegalStateException(names.get(hall) + " is not cut off");
        }
        return --cuts[hall] == 0;
    }

    /** True while a hall is cut off. */
    public boolean isIsolated(int hall) {
        return cuts[hall] > 0;
    }

    /** True when something sent from one hall reaches the other. */
    public boolean canReach(int from, int to) {
        return from == to || (cuts[from] == 0 && cuts[to] == 0);
    }

    /** One-way time between halls. */
    public double oneWayMs(int from, int to) {
        return from == to ? sameMs : crossMs;
    }
}
