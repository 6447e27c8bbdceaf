package spanrill.soak;

import java.util.List;

/**
 * One trial as its seed draws it. Times are in ms, from when the load begins where not said otherwise.
 *
 * @param seed what all of it was drawn from
 * @param nodes node processes
 * @param servers servers at the start
 * @param classes classes of the settings
 * @param requestsPerSecond over all nodes
 * @param lengthMs how long clients ask before the last shutdown begins
 * @param connectionsPerNode client connections that are shared by many requests
 * @param idleMs servers close idle connections after so long
 * @param places sessions that a server of the settings holds; its slow start follows from it
 * @param faults in order of time
 */
public record Trial(
        long seed,
        TrialKind kind,
        int nodes,
        int servers,
        List<ClassPlan> classes,
        double requestsPerSecond,
        double lengthMs,
        int connectionsPerNode,
        double idleMs,
        int places,
        ClientHabits clients,
        ServerHabits answers,
        List<Fault> faults) {
    /** Attempts that the settings allow for each request. */
    public static final int MAX_ATTEMPTS = 3;

    /** How long the settings call a server cold after its start, ms. */
    public static final double COLD_MS = 4000;
    /** The share of its pace that a server takes at its start. */
    public static final double COLD_SHARE = 0.4;
    /** More than this multiple of its present pace, over the time below, and a cold server falls over. */
    public static final double TIP_MULTIPLE = 2;
    /** See {@link #TIP_MULTIPLE}; ms. */
    public static final double FALL_MS = 500;

    /** The protocol counts longer deadlines as this, ms. */
    private static final double MOST_DEADLINE_MS = 3000;

    private static final double KILL_AFTER_DEADLINE_MS = 700;

    /**
     * A class of service.
     *
     * @param deadlineMs its hard limit
     * @param once true when a set-up may not run twice
     */
    public record ClassPlan(String name, double deadlineMs, boolean once) {}

    /**
     * How often clients do what, as shares of requests.
     *
     * @param acknowledges releases that are acknowledged
     * @param givesUp requests that are cancelled early
     * @param closes requests whose connection the client closes
     * @param repeatsId requests whose set-up is sent twice
     * @param retriesAtOnce refused requests that come again at once
     * @param inPieces set-ups written in pieces
     * @param newConnection requests on a connection of their own
     * @param littleTime requests that come with very little time left
     */
    public record ClientHabits(
            double acknowledges,
            double givesUp,
            double closes,
            double repeatsId,
            double retriesAtOnce,
            double inPieces,
            double newConnection,
            double littleTime) {}

    /** How often servers do what to a set-up, as shares; the rest is answered well. */
    public record ServerHabits(
            double full,
            double error,
            double reset,
            double never,
            double spoilt,
            double twice,
            double aheadUnknown,
            double inPieces,
            double cut) {}

    /**
     * A fault.
     *
     * @param target index of the node or server; for bad clients their kind
     * @param lengthMs how long it lasts
     */
    public record Fault(double atMs, FaultKind kind, int target, double lengthMs) {}

    /** The longest deadline of a class, ms. */
    public double longestDeadlineMs() {
        return classes.stream().mapToDouble(ClassPlan::deadlineMs).max().orElseThrow();
    }

    /** SIGKILL comes so long after SIGTERM, ms. */
    public double killAfterMs() {
        return Math.min(MOST_DEADLINE_MS, longestDeadlineMs()) + KILL_AFTER_DEADLINE_MS;
    }

    /** The same trial with other faults. */
    public Trial withFaults(List<Fault> others) {
        return new Trial(
                seed,
                kind,
                nodes,
                servers,
                classes,
                requestsPerSecond,
                lengthMs,
                connectionsPerNode,
                idleMs,
                places,
                clients,
                answers,
                others);
    }
}
