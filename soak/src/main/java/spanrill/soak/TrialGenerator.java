package spanrill.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import spanrill.soak.Trial.ClassPlan;
import spanrill.soak.Trial.ClientHabits;
import spanrill.soak.Trial.Fault;
import spanrill.soak.Trial.ServerHabits;

/** Generates trials from seeds. The same seed and kind always give the same trial. */
public final class TrialGenerator {
    private static final double[] DEADLINES_MS = {200, 400, 1019, 1500, 3500, 6000};
    private static final double MIN_LOAD_DURATION_MS = 7000;
    private static final double MAX_LOAD_DURATION_MS = 11_000;
    private static final double MIN_LONG_LOAD_DURATION_MS = 16_000;
    private static final double MAX_LONG_LOAD_DURATION_MS = 20_000;
    private static final double MIN_PAUSE_MS = 150;
    private static final double MAX_PAUSE_MS = 1950;
    private static final double MIN_FIRST_FAULT_MS = 800;
    private static final int[] PLACES_PER_SERVER = {40, 120, 500};
    private static final double MIN_REQUESTS_PER_SECOND = 60;
    private static final double MIN_SERVER_IDLE_MS = 400;
    private static final double MAX_SERVER_IDLE_MS = 8000;
    private static final double MAX_REQUESTS_PER_SECOND = 180;

    private final SplittableRandom random;
    private final TrialKind kind;
    private final List<Fault> faults = new ArrayList<>();
    private int nodeCount;
    private int serverCount;
    private double loadDurationMs;
    /** True if nodes pause for so long that requests need enough time left to be answered after it. */
    private boolean withLongPauses;

    private TrialGenerator(long seed, TrialKind kind) {
        random = new SplittableRandom(seed);
        this.kind = kind;
    }

    /** Generates the trial of a seed; the kind is the seed modulo the number of kinds. */
    public static Trial generate(long seed) {
        return generate(seed, TrialKind.values()[Math.floorMod(seed, TrialKind.values().length)]);
    }

    /** Generates the trial of a seed and a kind. */
    public static Trial generate(long seed, TrialKind kind) {
        return new TrialGenerator(seed, kind).build(seed);
    }

    private Trial build(long seed) {
        withLongPauses = kind == TrialKind.PAUSES || (kind == TrialKind.LOST_SERVERS && random.nextInt(3) == 0);
        nodeCount = uniformInt(2, 3);
        serverCount = uniformInt(4, 7);
        loadDurationMs = uniform(MIN_LOAD_DURATION_MS, MAX_LOAD_DURATION_MS);
        if (kind == TrialKind.LOST_SERVERS) {
            serverCount = uniformInt(8, 14);
            loadDurationMs = uniform(MIN_LONG_LOAD_DURATION_MS, MAX_LONG_LOAD_DURATION_MS);
        }
        List<ClassPlan> classes = classes();
        boolean withLostServers = kind == TrialKind.LOST_SERVERS || kind == TrialKind.MIXED;
        boolean withSignals = kind == TrialKind.SIGNALS || kind == TrialKind.MIXED;
        boolean withDiscovery = kind == TrialKind.DISCOVERY || kind == TrialKind.MIXED;
        boolean withClients = kind == TrialKind.CLIENTS || kind == TrialKind.MIXED;
        boolean withNetwork = kind == TrialKind.NETWORK || kind == TrialKind.MIXED;
        if (withSignals) {
            addShutdowns(classes);
        }
        if (withDiscovery) {
            addDiscoveryFaults();
        }
        if (withClients) {
            addClientFaults();
        }
        if (withNetwork || withSignals) {
            addServerFaults();
        }
        if (withLostServers) {
            addLostServers();
        }
        if (withLongPauses) {
            addLongPauses(classes);
        } else {
            addPauses();
        }
        faults.sort(Comparator.comparingDouble(Fault::atMs));
        return new Trial(
                seed,
                kind,
                nodeCount,
                serverCount,
                classes,
                uniform(MIN_REQUESTS_PER_SECOND, MAX_REQUESTS_PER_SECOND),
                loadDurationMs,
                uniformInt(1, 3),
                uniform(MIN_SERVER_IDLE_MS, MAX_SERVER_IDLE_MS),
                PLACES_PER_SERVER[random.nextInt(PLACES_PER_SERVER.length)],
                clientHabits(withClients),
                serverHabits(withNetwork || withLongPauses),
                List.copyOf(faults));
    }

    private List<ClassPlan> classes() {
        List<ClassPlan> classes = new ArrayList<>();
        int first = withLongPauses ? DEADLINES_MS.length / 2 : 0;
        double longestMs = DEADLINES_MS[random.nextInt(first, DEADLINES_MS.length)];
        int count = uniformInt(2, 3);
        for (int i = 0; i < count; i++) {
            double deadlineMs = i == 0 ? longestMs : Math.max(200, longestMs * uniform(0.5, 1.0));
            classes.add(new ClassPlan("c" + i, deadlineMs, i % 2 == 1));
        }
        return classes;
    }

    /**
     * Adds shutdowns of one node after the other, each 600 to 1500 ms after the SIGKILL time of the previous one. The
     * final shutdown of all nodes follows the load and is not a planned fault.
     */
    private void addShutdowns(List<ClassPlan> classes) {
        double deadlineMs =
                classes.stream().mapToDouble(ClassPlan::deadlineMs).max().orElseThrow();
        double intervalMs = Math.min(3000, deadlineMs) + 700 + uniform(600, 1500);
        int node = random.nextInt(nodeCount);
        for (double atMs = uniform(MIN_FIRST_FAULT_MS, 2000); atMs < loadDurationMs - 1500; atMs += intervalMs) {
            FaultKind faultKind = random.nextInt(5) == 0 ? FaultKind.NODE_KILLED : FaultKind.NODE_TERMINATED;
            faults.add(new Fault(atMs, faultKind, node, uniform(50, 600)));
            node = (node + 1) % nodeCount;
        }
    }

    private void addDiscoveryFaults() {
        double endMs = loadDurationMs - 1000;
        for (double atMs = uniform(MIN_FIRST_FAULT_MS, 1500); atMs < endMs; atMs += uniform(700, 2500)) {
            FaultKind faultKind =
                    switch (random.nextInt(6)) {
                        case 0 -> FaultKind.DISCOVERY_CUT;
                        case 1 -> FaultKind.DISCOVERY_FROZEN;
                        case 2 -> FaultKind.DISCOVERY_DOWN;
                        case 3 -> FaultKind.DISCOVERY_MUTE;
                        default -> FaultKind.NODE_RECONFIGURED;
                    };
            double durationMs = uniform(300, 3000);
            faults.add(new Fault(atMs, faultKind, random.nextInt(nodeCount), durationMs));
            if (random.nextInt(2) == 0) {
                // A server drains within 300 ms of discovery's recovery.
                faults.add(new Fault(
                        atMs + durationMs + uniform(-300, 300),
                        FaultKind.SERVER_DRAINED,
                        random.nextInt(serverCount),
                        uniform(600, 1500)));
            }
        }
    }

    private void addServerFaults() {
        for (double atMs = uniform(500, 1200); atMs < loadDurationMs - 500; atMs += uniform(500, 1800)) {
            FaultKind faultKind =
                    switch (random.nextInt(6)) {
                        case 0 -> FaultKind.SERVER_HANGS;
                        case 1 -> FaultKind.SERVER_SILENT;
                        case 2 -> FaultKind.SERVER_REPLACED;
                        case 3 -> FaultKind.SERVER_DRAINED;
                        case 4 -> FaultKind.SERVER_RESETS;
                        default -> FaultKind.SERVER_HANGS;
                    };
            faults.add(new Fault(atMs, faultKind, random.nextInt(serverCount), uniform(400, 2500)));
        }
    }

    private void addPauses() {
        if (random.nextInt(3) == 0) {
            for (double atMs = uniform(500, 2000); atMs < loadDurationMs; atMs += uniform(500, 3000)) {
                faults.add(new Fault(atMs, FaultKind.NODE_PAUSED, random.nextInt(nodeCount), uniform(20, 150)));
            }
        }
    }

    /**
     * Adds groups of servers that vanish and return, with faults of discovery that begin near the event which says that
     * the group is gone, and drains and replacements of other servers.
     */
    private void addLostServers() {
        double atMs = uniform(MIN_FIRST_FAULT_MS, 2500);
        double silentMs = uniform(3000, 13_000);
        faults.add(new Fault(atMs, FaultKind.SERVER_GROUP_VANISHES, random.nextInt(serverCount), silentMs));
        FaultKind[] discoveryFaults = {
            FaultKind.DISCOVERY_SLOW,
            FaultKind.DISCOVERY_UNREACHABLE,
            FaultKind.DISCOVERY_MUTE,
            FaultKind.DISCOVERY_CUT,
            FaultKind.NODE_RECONFIGURED
        };
        for (int node = 0; node < nodeCount; node++) {
            int choice = random.nextInt(2 * discoveryFaults.length);
            if (choice < discoveryFaults.length) {
                faults.add(new Fault(atMs + uniform(-500, 5000), discoveryFaults[choice], node, uniform(1000, 12_000)));
            } else if (choice < discoveryFaults.length + 3) {
                // Long enough that a node which never gets an answer is seen.
                faults.add(
                        new Fault(atMs + uniform(-500, 1500), FaultKind.DISCOVERY_SLOW, node, uniform(8000, 14_000)));
            }
        }
        for (double leaveMs = uniform(500, 1500); leaveMs < loadDurationMs; leaveMs += uniform(800, 2500)) {
            FaultKind faultKind = random.nextInt(3) == 0 ? FaultKind.SERVER_REPLACED : FaultKind.SERVER_DRAINED;
            // Long enough that a node which never learns of the drain is seen 6 s later.
            faults.add(new Fault(leaveMs, faultKind, random.nextInt(serverCount), uniform(1000, 12_000)));
        }
    }

    /**
     * Adds pauses of up to 2 s, after which an answer is still due in time, with servers that drain during them, fall
     * silent or are replaced, and a few signals.
     */
    private void addLongPauses(List<ClassPlan> classes) {
        double shortestMs =
                classes.stream().mapToDouble(ClassPlan::deadlineMs).min().orElseThrow();
        double longestPauseMs = Math.min(MAX_PAUSE_MS, shortestMs);
        for (double atMs = uniform(500, 1500); atMs < loadDurationMs; atMs += uniform(700, 2200)) {
            int node = random.nextInt(nodeCount);
            double pauseMs = uniform(MIN_PAUSE_MS, longestPauseMs);
            faults.add(new Fault(atMs, FaultKind.NODE_PAUSED, node, pauseMs));
            if (random.nextInt(3) > 0) {
                FaultKind faultKind =
                        switch (random.nextInt(6)) {
                            case 0 -> FaultKind.SERVER_REPLACED;
                            case 1 -> FaultKind.SERVER_SILENT;
                            case 2 -> FaultKind.SERVER_RESETS;
                            default -> FaultKind.SERVER_DRAINED;
                        };
                faults.add(new Fault(
                        atMs + uniform(-100, pauseMs), faultKind, random.nextInt(serverCount), uniform(600, 2500)));
            }
            if (random.nextInt(5) == 0) {
                FaultKind signal = random.nextInt(3) == 0 ? FaultKind.NODE_TERMINATED : FaultKind.NODE_RECONFIGURED;
                faults.add(new Fault(atMs + uniform(-300, 0), signal, random.nextInt(nodeCount), uniform(50, 600)));
            }
        }
    }

    private void addClientFaults() {
        for (double atMs = uniform(300, 800); atMs < loadDurationMs - 3500; atMs += uniform(200, 700)) {
            faults.add(new Fault(atMs, FaultKind.BAD_CLIENT, random.nextInt(BadClient.Scenario.values().length), 0));
        }
        if (random.nextInt(3) == 0) {
            faults.add(new Fault(
                    uniform(500, 3000), FaultKind.CLIENT_CROWD, random.nextInt(nodeCount), uniform(1000, 4000)));
        }
    }

    private ClientHabits clientHabits(boolean frequent) {
        double scale = frequent ? 1 : 0.3;
        return new ClientHabits(
                uniform(0.5, 1.0),
                scale * uniform(0, 0.15),
                scale * uniform(0, 0.02),
                scale * (random.nextInt(2) == 0 ? 0 : 0.03),
                uniform(0.4, 1.0),
                scale * uniform(0, 0.4),
                uniform(0.02, 0.2),
                withLongPauses ? 0 : uniform(0, 0.1));
    }

    private ServerHabits serverHabits(boolean frequent) {
        double scale = frequent ? 1 : 0.2;
        return new ServerHabits(
                scale * uniform(0, 0.08),
                scale * uniform(0, 0.05),
                scale * uniform(0, 0.03),
                scale * uniform(0, 0.04),
                scale * uniform(0, 0.03),
                scale * uniform(0, 0.03),
                scale * uniform(0, 0.03),
                scale * uniform(0, 0.4),
                scale * uniform(0, 0.03));
    }

    private int uniformInt(int min, int max) {
        return random.nextInt(min, max + 1);
    }

    private double uniform(double min, double max) {
        return random.nextDouble(min, max);
    }
}
