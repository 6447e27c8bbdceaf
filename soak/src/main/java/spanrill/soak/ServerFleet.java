package spanrill.soak;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import spanrill.soak.Trial.Fault;

/**
 * The servers of a trial. Each slot has an address for each node, so that connections tell which node they
 * come from; the server in a slot may be replaced by another under a new id.
 */
final class ServerFleet {
    /** A server that dies is gone from the list only so much later, ms: the list tells late. */
    private static final double LISTED_LATE_MS = 400;

    private static final int CELLS = 2;

    private final Trial trial;
    private final EventLoop loop;
    private final EventLog log;
    private final SplittableRandom random;
    private final Discovery discovery;
    private final Timers timers;
    private final List<Slot> slots = new ArrayList<>();
    private int ids;

    /** The addresses of one server at a time. */
    private static final class Slot {
        private final int index;
        private final List<Integer> ports = new ArrayList<>();
        private final List<Channel> listening = new ArrayList<>();
        private ServerStandIn server;
        /** The server that is there now is known to discovery. */
        private boolean listed;

        Slot(int index) {
            this.index = index;
        }
    }

    ServerFleet(
            Trial trial, EventLoop loop, EventLog log, SplittableRandom random, Discovery discovery, Timers timers) {
        this.trial = trial;
        this.loop = loop;
        this.log = log;
        this.random = random;
        this.discovery = discovery;
        this.timers = timers;
    }

    /** Starts listening and tells discovery of all servers. */
    void start() throws IOException {
        for (int i = 0; i < trial.servers(); i++) {
            Slot slot = new Slot(i);
            slots.add(slot);
            slot.server = newServer(slot);
            for (int node = 0; node < trial.nodes(); node++) {
                int from = node;
                Channel channel = Sockets.listen(loop, 0, () -> slot.server.accept(from));
                slot.listening.add(channel);
                slot.ports.add(Sockets.port(channel));
            }
        }
        slots.forEach(slot -> slot.listed = true);
        discovery.first(
                slots.stream().map(slot -> entry(slot, ServerState.SERVING, 0)).toList());
    }

    private ServerStandIn newServer(Slot slot) {
        ServerStandIn server = new ServerStandIn("s-" + trial.seed() + "-" + ++ids, trial, log, random.split(), timers);
        slot.server = server;
        return server;
    }

    private ServerEntry entry(Slot slot, ServerState state, long startedAt) {
        return new ServerEntry(slot.server.id(), slot.ports, slot.index % CELLS, state, startedAt);
    }

    /** Carries a fault of a server out. */
    void fault(Fault fault) {
        Slot slot = slots.get(fault.target() % slots.size());
        ServerStandIn server = slot.server;
        switch (fault.kind()) {
            case SERVER_HANGS -> {
                server.mode(ServerStandIn.Mode.HANGS);
                timers.after(fault.lengthMs(), () -> server.mode(ServerStandIn.Mode.SERVES));
            }
            case SERVER_SILENT -> {
                server.mode(ServerStandIn.Mode.SILENT);
                timers.after(fault.lengthMs(), () -> recover(slot, server));
            }
            case SERVER_RESETS -> server.resetConnections();
            case SERVER_REPLACED -> replace(slot);
            case SERVER_DRAINED -> drain(slot, fault.lengthMs());
            default -> throw new IllegalArgumentException("no fault of a server: " + fault.kind());
        }
    }

    private void recover(Slot slot, ServerStandIn server) {
        if (slot.server == server) {
            server.resetConnections();
            server.mode(ServerStandIn.Mode.SERVES);
        }
    }

    private void replace(Slot slot) {
        ServerEntry old = entry(slot, ServerState.GONE, 0);
        slot.server.die();
        newServer(slot);
        log.add(EventKind.SERVER_STARTED, -1, slot.server.id(), 0);
        ServerEntry fresh = entry(slot, ServerState.SERVING, System.currentTimeMillis());
        slot.listed = false;
        timers.after(LISTED_LATE_MS, () -> {
            boolean still = slot.server.id().equals(fresh.id());
            slot.listed |= still;
            discovery.tell(still ? List.of(old, fresh) : List.of(old));
        });
    }

    private void drain(Slot slot, double drainsMs) {
        if (!slot.listed) {
            // Discovery can't tell that a server drains before it has told of it.
            return;
        }
        ServerStandIn draining = slot.server;
        discovery.tell(List.of(entry(slot, ServerState.DRAINING, 0)));
        timers.after(drainsMs, () -> {
            if (slot.server == draining) {
                replace(slot);
            }
        });
    }

    void stop() {
        slots.forEach(slot -> {
            slot.listening.forEach(Channel::close);
            slot.server.resetConnections();
        });
    }
}
