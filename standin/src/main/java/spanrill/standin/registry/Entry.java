package spanrill.standin.registry;

/** A box as the registry lists it; {@code startedAt} is in ms since 1970, 0 for a process started warm. */
public record Entry(
        String id, int port, String zone, String kind, int cell, String state, double weight, double startedAt) {}
