package spanrill.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import spanrill.soak.Trial.ClassPlan;
import spanrill.soak.Trial.ClientHabits;
import spanrill.soak.Trial.Fault;
import spanrill.soak.Trial.ServerHabits;

/** Draws trials from seeds: the same seed and kind, the same trial. */
public final class TrialGenerator {
    private static final double[] DEADLINES_MS = {200, 400, 1019, 1500, 3500, 6000};
    private static final double LEAST_LENGTH_MS = 7000;
    private static final double MOST_LENGTH_MS = 11_000;
    private static final double FIRST_FAULT_MS = 800;
    private static final int[] PLACES = {40, 120, 500};
    private static final double LEAST_RATE = 60;
    private static final double LEAST_IDLE_MS = 400;
    private static final double MOST_IDLE_MS = 8000;
    private static final double MOST_RATE = 180;

    private final SplittableRandom random;
    private final TrialKind kind;
    private final List<Fault> faults = new ArrayList<>();
    private int nodes;
    private int servers;
    private double lengthMs;

    private TrialGenerator(long seed, TrialKind kind) {
        random = new SplittableRandom(seed);
        this.kind = kind;
    }

    /** The trial of a seed, its kind by turns. */
    public static Trial generate(long seed) {
        return generate(seed, TrialKind.values()[Math.floorMod(seed, TrialKind.values().length)]);
    }

    /** The trial of a seed and a kind. */
    public static Trial generate(long seed, TrialKind kind) {
        return new TrialGenerator(seed, kind).draw(seed);
    }

    private Trial draw(long seed) {
        nodes = whole(2, 3);
        servers = whole(4, 7);
        lengthMs = between(LEAST_LENGTH_MS, MOST_LENGTH_MS);
        List<ClassPlan> classes = classes();
        boolean signals = kind == TrialKind.SIGNALS || kind == TrialKind.MIXED;
        boolean discovery = kind == TrialKind.DISCOVERY || kind == TrialKind.MIXED;
        boolean clients = kind == TrialKind.CLIENTS || kind == TrialKind.MIXED;
        boolean network = kind == TrialKind.NETWORK || kind == TrialKind.MIXED;
        if (signals) {
            drawSignals(classes);
        }
        if (discovery) {
            drawDiscovery();
        }
        if (clients) {
            drawClients();
        }
        if (network || signals) {
            drawServers();
        }
        drawPauses();
        faults.sort(Comparator.comparingDouble(Fault::atMs));
        return new Trial(
                seed,
                kind,
                nodes,
                servers,
                classes,
                between(LEAST_RATE, MOST_RATE),
                lengthMs,
                whole(1, 3),
                between(LEAST_IDLE_MS, MOST_IDLE_MS),
                PLACES[random.nextInt(PLACES.length)],
                habits(clients),
                answers(network),
                List.copyOf(faults));
    }

    private List<ClassPlan> classes() {
        List<ClassPlan> classes = new ArrayList<>();
        double longest = DEADLINES_MS[random.nextInt(DEADLINES_MS.length)];
        int count = whole(2, 3);
        for (int i = 0; i < count; i++) {
            double deadline = i == 0 ? longest : Math.max(200, longest * between(0.5, 1.0));
            classes.add(new ClassPlan("c" + i, deadline, i % 2 == 1));
        }
        return classes;
    }

    /** One node after the other; the last shutdown, of all at once, follows the load. */
    private void drawSignals(List<ClassPlan> classes) {
        double deadline =
                classes.stream().mapToDouble(ClassPlan::deadlineMs).max().orElseThrow();
        double apart = Math.min(3000, deadline) + 700 + between(600, 1500);
        int node = random.nextInt(nodes);
        for (double at = between(FIRST_FAULT_MS, 2000); at < lengthMs - 1500; at += apart) {
            FaultKind how = random.nextInt(5) == 0 ? FaultKind.NODE_KILLED : FaultKind.NODE_TERMINATED;
            faults.add(new Fault(at, how, node, between(50, 600)));
            node = (node + 1) % nodes;
        }
    }

    private void drawDiscovery() {
        double end = lengthMs - 1000;
        for (double at = between(FIRST_FAULT_MS, 1500); at < end; at += between(700, 2500)) {
            FaultKind how =
                    switch (random.nextInt(6)) {
                        case 0 -> FaultKind.DISCOVERY_CUT;
                        case 1 -> FaultKind.DISCOVERY_FROZEN;
                        case 2 -> FaultKind.DISCOVERY_DOWN;
                        case 3 -> FaultKind.DISCOVERY_MUTE;
                        default -> FaultKind.NODE_RECONFIGURED;
                    };
            double lasts = between(300, 3000);
            faults.add(new Fault(at, how, random.nextInt(nodes), lasts));
            if (random.nextInt(2) == 0) {
                // A drain close to its return.
                faults.add(new Fault(
                        at + lasts + between(-300, 300),
                        FaultKind.SERVER_DRAINED,
                        random.nextInt(servers),
                        between(600, 1500)));
            }
        }
    }

    private void drawServers() {
        for (double at = between(500, 1200); at < lengthMs - 500; at += between(500, 1800)) {
            FaultKind how =
                    switch (random.nextInt(6)) {
                        case 0 -> FaultKind.SERVER_HANGS;
                        case 1 -> FaultKind.SERVER_SILENT;
                        case 2 -> FaultKind.SERVER_REPLACED;
                        case 3 -> FaultKind.SERVER_DRAINED;
                        case 4 -> FaultKind.SERVER_RESETS;
                        default -> FaultKind.SERVER_HANGS;
                    };
            faults.add(new Fault(at, how, random.nextInt(servers), between(400, 2500)));
        }
    }

    private void drawPauses() {
        if (random.nextInt(3) == 0) {
            for (double at = between(500, 2000); at < lengthMs; at += between(500, 3000)) {
                faults.add(new Fault(at, FaultKind.NODE_PAUSED, random.nextInt(nodes), between(20, 150)));
            }
        }
    }

    private void drawClients() {
        for (double at = between(300, 800); at < lengthMs - 3500; at += between(200, 700)) {
            faults.add(new Fault(at, FaultKind.BAD_CLIENT, random.nextInt(BadClient.Habit.values().length), 0));
        }
        if (random.nextInt(3) == 0) {
            faults.add(
                    new Fault(between(500, 3000), FaultKind.CLIENT_CROWD, random.nextInt(nodes), between(1000, 4000)));
        }
    }

    private ClientHabits habits(boolean bad) {
        double more = bad ? 1 : 0.3;
        return new ClientHabits(
                between(0.5, 1.0),
                more * between(0, 0.15),
                more * between(0, 0.02),
                more * (random.nextInt(2) == 0 ? 0 : 0.03),
                between(0.4, 1.0),
                more * between(0, 0.4),
                between(0.02, 0.2),
                between(0, 0.1));
    }

    private ServerHabits answers(boolean bad) {
        double more = bad ? 1 : 0.2;
        return new ServerHabits(
                more * between(0, 0.08),
                more * between(0, 0.05),
                more * between(0, 0.03),
                more * between(0, 0.04),
                more * between(0, 0.03),
                more * between(0, 0.03),
                more * between(0, 0.03),
                more * between(0, 0.4),
                more * between(0, 0.03));
    }

    private int whole(int least, int most) {
        return random.nextInt(least, most + 1);
    }

    private double between(double least, double most) {
        return random.nextDouble(least, most);
    }
}
