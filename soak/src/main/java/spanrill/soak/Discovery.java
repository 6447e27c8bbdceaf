package spanrill.soak;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import spanrill.soak.Trial.Fault;

/** The numbered events of discovery, and one stand-in for each node that tells them. */
final class Discovery {
    private final EventLog log;
    private final List<DiscoveryStandIn> byNode = new ArrayList<>();
    private final List<List<ServerEntry>> events = new ArrayList<>();
    private final Map<String, ServerEntry> current = new LinkedHashMap<>();

    Discovery(Trial trial, EventLoop loop, EventLog log, Timers timers) throws IOException {
        this.log = log;
        for (int node = 0; node < trial.nodes(); node++) {
            byNode.add(new DiscoveryStandIn(this, node, loop, timers));
        }
    }

    /** The list that stands at the start. */
    void first(List<ServerEntry> servers) {
        events.add(List.copyOf(servers));
        servers.forEach(server -> current.put(server.id(), server));
    }

    /** A change: it is there from now on. */
    void tell(List<ServerEntry> changed) {
        events.add(List.copyOf(changed));
        for (ServerEntry server : changed) {
            log.add(EventKind.DISCOVERY_EVENT, -1, server.id(), server.state().ordinal());
            if (server.state() == ServerState.GONE) {
                current.remove(server.id());
            } else {
                current.put(server.id(), server);
            }
        }
        byNode.forEach(DiscoveryStandIn::push);
    }

    /** Number of the newest event. */
    int last() {
        return events.size();
    }

    /** An event as a node is told of it; the first holds the whole list. */
    String event(int no, int node) {
        String members =
                events.get(no - 1).stream().map(server -> server.json(node)).collect(Collectors.joining(","));
        return "{\"no\":" + no + ",\"roster\":{\"revision\":" + no + ",\"complete\":" + (no == 1) + ",\"members\":["
                + members + "]}}";
    }

    /** All events so far, as a node's configuration holds them. */
    String known(int node) {
        List<String> items = new ArrayList<>();
        for (int no = 1; no <= last(); no++) {
            items.add(event(no, node));
        }
        return "{\"no\":" + last() + ",\"items\":[" + String.join(",", items) + "]}";
    }

    DiscoveryStandIn of(int node) {
        return byNode.get(node);
    }

    /** Carries a fault of discovery out. */
    void fault(Fault fault) {
        of(fault.target() % byNode.size()).fault(fault);
    }

    void stop() {
        byNode.forEach(DiscoveryStandIn::stop);
    }
}
