package spanrill.soak;

import java.util.List;

/**
 * Parameters of one trial, all generated from its seed. The soak command prints them with {@code toString}, so that the
 * names of all components are part of its output.
 *
 * @param seed seed that the trial is generated from
 * @param kind kind of the trial
 * @param nodes number of node processes
 * @param servers number of servers
 * @param classes service classes of the settings
 * @param requestsPerSecond rate of new requests, summed over all nodes
 * @param lengthMs time for which clients send requests before the final shutdown begins, ms
 * @param connectionsPerNode number of client connections to each node that are shared by many requests
 * @param idleMs time after which servers close idle connections, ms
 * @param places number of sessions that a server holds according to the settings; the limit of set-ups to
 *     a cold server follows from it
 * @param clients shares of requests with unusual client actions
 * @param answers shares of set-ups with unusual server actions
 * @param faults faults in order of their times
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
    /** Maximum number of attempts of a request in the settings. */
    public static final int MAX_ATTEMPTS = 3;

    /** Time for which a server is cold after its start in the settings, ms. */
    public static final double COLD_MS = 4000;
    /** Share of the normal set-up rate that a server accepts at its start. */
    public static final double COLD_SHARE = 0.4;
    /** A cold server falls over above this multiple of its current set-up rate within {@link #FALL_MS}. */
    public static final double TIP_MULTIPLE = 2;
    /** Length of the window that {@link #TIP_MULTIPLE} refers to, ms. */
    public static final double FALL_MS = 500;

    /** Upper limit of the deadline in the protocol's time from SIGTERM to SIGKILL, ms. */
    private static final double MAX_DEADLINE_MS = 3000;

    /** Time from the longest deadline to SIGKILL, ms. */
    private static final double KILL_AFTER_DEADLINE_MS = 700;

    /**
     * A service class.
     *
     * @param deadlineMs hard limit on the set-up time, ms
     * @param once true if a set-up must not run twice
     */
    public record ClassPlan(String name, double deadlineMs, boolean once) {}

    /**
     * Probabilities of client actions, each from 0 to 1.
     *
     * @param acknowledges a received release is acknowledged
     * @param givesUp a request is cancelled soon after it is sent
     * @param closes the client closes the connection of a request soon after the request is sent
     * @param repeatsId the set-up of a request is sent twice
     * @param retriesAtOnce a refused request that may be repeated is retried after a short delay
     * @param inPieces a set-up is written in several pieces
     * @param newConnection a request uses a connection of its own
     * @param littleTime a request has only a small part of its class's deadline left
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

    /**
     * Probabilities of server actions on a set-up, each from 0 to 1. Without an action the server answers normally.
     *
     * @param full the server refuses the set-up because it is full
     * @param error the server refuses the set-up with an error
     * @param reset the server resets the connection instead of answering
     * @param never the server does not answer
     * @param spoilt the server writes bytes that are not a message
     * @param twice the server sends its answer twice
     * @param aheadUnknown the server answers an unknown session before the one requested
     * @param inPieces the server writes its answer in several pieces
     * @param cut the server writes part of an answer and closes the connection
     */
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
     * A planned fault.
     *
     * @param atMs time since the load began, ms
     * @param kind kind of the fault
     * @param target index of the node or server; for bad clients the ordinal of their scenario
     * @param lengthMs how long the fault lasts, ms
     */
    public record Fault(double atMs, FaultKind kind, int target, double lengthMs) {}

    /** Returns the longest deadline of all service classes, ms. */
    public double longestDeadlineMs() {
        return classes.stream().mapToDouble(ClassPlan::deadlineMs).max().orElseThrow();
    }

    /** Returns the time from SIGTERM to SIGKILL, ms. */
    public double killAfterMs() {
        return Math.min(MAX_DEADLINE_MS, longestDeadlineMs()) + KILL_AFTER_DEADLINE_MS;
    }

    /** Returns a copy of the trial with other faults. */
    public Trial withFaults(List<Fault> newFaults) {
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
                newFaults);
    }
}
