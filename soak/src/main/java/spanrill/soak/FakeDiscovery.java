package spanrill.soak;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import spanrill.soak.Trial.Fault;

/** Simulated discovery: the numbered events and one endpoint for each node that serves them. */
final class FakeDiscovery {
    private final EventLog log;
    private final List<FakeDiscoveryEndpoint> endpoints = new ArrayList<>();
    private final List<List<ServerEntry>> events = new ArrayList<>();
    private final Map<String, ServerEntry> currentServers = new LinkedHashMap<>();

    FakeDiscovery(Trial trial, EventLoop loop, EventLog log, Timers timers) throws IOException {
        this.log = log;
        for (int nodeIndex = 0; nodeIndex < trial.nodes(); nodeIndex++) {
            endpoints.add(new FakeDiscoveryEndpoint(this, nodeIndex, loop, timers));
        }
    }

    /** Publishes the servers that exist at the start. */
    void publishInitial(List<ServerEntry> servers) {
        events.add(List.copyOf(servers));
        servers.forEach(server -> currentServers.put(server.id(), server));
    }

    /** Publishes a change of servers to all endpoints. */
    void publish(List<ServerEntry> changed) {
        events.add(List.copyOf(changed));
        for (ServerEntry server : changed) {
            log.add(EventKind.DISCOVERY_EVENT, -1, server.id(), server.state().ordinal());
            if (server.state() == ServerState.GONE) {
                currentServers.remove(server.id());
            } else {
                currentServers.put(server.id(), server);
            }
        }
        endpoints.forEach(FakeDiscoveryEndpoint::sendNewEvents);
    }

    /** Returns the number of the newest event; the first event has number 1. */
    int lastEventNumber() {
        return events.size();
    }

    /** Returns an event as JSON for one node; the first event holds the complete list. */
    String eventJson(int eventNumber, int nodeIndex) {
        String members = events.get(eventNumber - 1).stream()
                .map(server -> server.toJson(nodeIndex))
                .collect(Collectors.joining(","));
        return "{\"no\":" + eventNumber + ",\"roster\":{\"revision\":" + eventNumber + ",\"complete\":"
                + (eventNumber == 1) + ",\"members\":[" + members + "]}}";
    }

    /** Returns all events so far as JSON for the configuration of one node. */
    String knownEventsJson(int nodeIndex) {
        List<String> items = new ArrayList<>();
        for (int eventNumber = 1; eventNumber <= lastEventNumber(); eventNumber++) {
            items.add(eventJson(eventNumber, nodeIndex));
        }
        return "{\"no\":" + lastEventNumber() + ",\"items\":[" + String.join(",", items) + "]}";
    }

    FakeDiscoveryEndpoint endpoint(int nodeIndex) {
        return endpoints.get(nodeIndex);
    }

    /** Injects a fault into the endpoint of the node that the fault targets. */
    void injectFault(Fault fault) {
        endpoint(fault.target() % endpoints.size()).injectFault(fault);
    }

    void stop() {
        endpoints.forEach(FakeDiscoveryEndpoint::stop);
    }
}
