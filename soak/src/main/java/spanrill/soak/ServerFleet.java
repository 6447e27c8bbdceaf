package spanrill.soak;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import spanrill.soak.Trial.Fault;

/**
 * The servers of a trial. Each slot listens on one port for each node, so that the port identifies the node of a
 * connection. The server in a slot may be replaced by another server with a new id.
 */
final class ServerFleet {
    /** Time after the death of a server until discovery publishes its removal and its replacement, ms. */
    private static final double DISCOVERY_DELAY_MS = 400;

    private static final int CELL_COUNT = 2;

    /** Share of the servers that vanish together. */
    private static final double VANISHING_SHARE = 0.21;

    private static final int MIN_VANISHING = 2;
    /** Distance between the slots of servers that vanish together. */
    private static final int GROUP_STRIDE = 3;

    /** Time from the silence of a server until discovery publishes that it is gone, ms. */
    private static final double MIN_SILENT_NOTICE_MS = 2200;

    private static final double MAX_SILENT_NOTICE_MS = 6000;
    /** Time from the start of a server until discovery publishes it, ms. */
    private static final double MIN_START_NOTICE_MS = 350;

    private static final double MAX_START_NOTICE_MS = 1600;

    private final Trial trial;
    private final EventLoop loop;
    private final EventLog log;
    private final SplittableRandom random;
    private final FakeDiscovery discovery;
    private final Timers timers;
    private final List<Slot> slots = new ArrayList<>();
    private int createdServers;

    /** Ports that belong to one server at a time. */
    private static final class Slot {
        private final int index;
        private final List<Integer> ports = new ArrayList<>();
        private final List<FaultyListener> listeners = new ArrayList<>();
        private FakeServer server;
        /** True from the time at which the machine vanishes until discovery has published that it is back. */
        private boolean vanished;
        /** True if discovery has published the current server. */
        private boolean published;

        Slot(int index) {
            this.index = index;
        }
    }

    ServerFleet(
            Trial trial,
            EventLoop loop,
            EventLog log,
            SplittableRandom random,
            FakeDiscovery discovery,
            Timers timers) {
        this.trial = trial;
        this.loop = loop;
        this.log = log;
        this.random = random;
        this.discovery = discovery;
        this.timers = timers;
    }

    /** Starts listening and publishes all servers to discovery. */
    void start() throws IOException {
        for (int i = 0; i < trial.servers(); i++) {
            Slot slot = new Slot(i);
            slots.add(slot);
            slot.server = startServer(slot);
            for (int node = 0; node < trial.nodes(); node++) {
                int nodeIndex = node;
                FaultyListener listener = FaultyListener.open(loop, timers, () -> slot.server.newConnection(nodeIndex));
                slot.listeners.add(listener);
                slot.ports.add(listener.port());
            }
        }
        slots.forEach(slot -> slot.published = true);
        discovery.publishInitial(
                slots.stream().map(slot -> entry(slot, ServerState.SERVING, 0)).toList());
    }

    private FakeServer startServer(Slot slot) {
        FakeServer server =
                new FakeServer("s-" + trial.seed() + "-" + ++createdServers, trial, log, random.split(), timers);
        slot.server = server;
        return server;
    }

    private ServerEntry entry(Slot slot, ServerState state, long startedAtMs) {
        return new ServerEntry(slot.server.id(), slot.ports, slot.index % CELL_COUNT, state, startedAtMs);
    }

    /** Injects a fault into the server that the fault targets. */
    void injectFault(Fault fault) {
        Slot slot = slots.get(fault.target() % slots.size());
        FakeServer server = slot.server;
        if (slot.vanished) {
            return;
        }
        switch (fault.kind()) {
            case SERVER_GROUP_VANISHES -> vanishTogether(fault);
            case SERVER_HANGS -> {
                server.setMode(FakeServer.Mode.HANGS);
                timers.schedule(fault.lengthMs(), () -> serveAgain(slot, server));
            }
            case SERVER_SILENT -> {
                server.setMode(FakeServer.Mode.SILENT);
                timers.schedule(fault.lengthMs(), () -> recover(slot, server));
            }
            case SERVER_RESETS -> server.resetConnections();
            case SERVER_REPLACED -> replace(slot);
            case SERVER_DRAINED -> drain(slot, fault.lengthMs());
            default -> throw new IllegalArgumentException("not a fault of a server: " + fault.kind());
        }
    }

    /**
     * Several machines vanish at once; one event of discovery says that they are gone, and a later one that they are
     * back.
     */
    private void vanishTogether(Fault fault) {
        List<Slot> group = new ArrayList<>();
        int size = Math.max(MIN_VANISHING, (int) Math.round(slots.size() * VANISHING_SHARE));
        for (int i = 0; i < size; i++) {
            Slot slot = slots.get((fault.target() + i * GROUP_STRIDE) % slots.size());
            if (slot.published && !slot.vanished && slot.server.isServing()) {
                group.add(slot);
            }
        }
        for (Slot slot : group) {
            slot.vanished = true;
            slot.server.vanish();
            slot.listeners.forEach(listener -> listener.setMode(FaultyListener.Mode.UNREACHABLE));
        }
        double noticeMs = random.nextDouble(MIN_SILENT_NOTICE_MS, MAX_SILENT_NOTICE_MS);
        if (noticeMs < fault.lengthMs()) {
            timers.schedule(noticeMs, () -> publish(group, ServerState.GONE, 0));
        }
        timers.schedule(fault.lengthMs(), () -> startAgain(group));
    }

    private void startAgain(List<Slot> group) {
        long startedAtMs = System.currentTimeMillis();
        for (Slot slot : group) {
            slot.server.startAgain();
            slot.listeners.forEach(listener -> listener.setMode(FaultyListener.Mode.ACCEPTS));
        }
        timers.schedule(random.nextDouble(MIN_START_NOTICE_MS, MAX_START_NOTICE_MS), () -> {
            publish(group, ServerState.SERVING, startedAtMs);
            group.forEach(slot -> slot.vanished = false);
        });
    }

    private void publish(List<Slot> group, ServerState state, long startedAtMs) {
        discovery.publish(
                group.stream().map(slot -> entry(slot, state, startedAtMs)).toList());
    }

    private void serveAgain(Slot slot, FakeServer server) {
        if (!slot.vanished) {
            server.setMode(FakeServer.Mode.SERVES);
        }
    }

    private void recover(Slot slot, FakeServer server) {
        if (slot.server == server && !slot.vanished) {
            server.resetConnections();
            server.setMode(FakeServer.Mode.SERVES);
        }
    }

    private void replace(Slot slot) {
        ServerEntry removed = entry(slot, ServerState.GONE, 0);
        slot.server.die();
        startServer(slot);
        log.add(EventKind.SERVER_STARTED, -1, slot.server.id(), 0);
        ServerEntry replacement = entry(slot, ServerState.SERVING, System.currentTimeMillis());
        slot.published = false;
        timers.schedule(DISCOVERY_DELAY_MS, () -> {
            boolean stillInSlot = slot.server.id().equals(replacement.id());
            slot.published |= stillInSlot;
            discovery.publish(stillInSlot ? List.of(removed, replacement) : List.of(removed));
        });
    }

    private void drain(Slot slot, double drainDurationMs) {
        if (!slot.published) {
            // Discovery cannot publish that a server drains before it has published the server itself.
            return;
        }
        FakeServer draining = slot.server;
        discovery.publish(List.of(entry(slot, ServerState.DRAINING, 0)));
        timers.schedule(drainDurationMs, () -> {
            if (slot.server == draining && !slot.vanished) {
                replace(slot);
            }
        });
    }

    void stop() {
        slots.forEach(slot -> {
            slot.listeners.forEach(listener -> listener.setMode(FaultyListener.Mode.STOPPED));
            slot.server.resetConnections();
        });
    }
}
