package spanrill.node.session;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The sessions that stand, by server. Servers and client connections are told how many they have. */
final class EstablishedSessions {
    private final ServerSide servers;
    private final Map<String, Set<NodeSession>> byServer = new HashMap<>();

    EstablishedSessions(ServerSide servers) {
        this.servers = servers;
    }

    /** A session stands from now on, ms on the scheduler's clock. */
    void add(NodeSession session, double now) {
        Set<NodeSession> there = byServer.computeIfAbsent(session.server, s -> new LinkedHashSet<>());
        there.add(session);
        session.link.establishedSessionsChanged(true);
        session.standsSince = now;
        servers.setEstablishedSessions(session.server, there.size());
    }

    /** A session that stood is over. */
    void remove(NodeSession session) {
        session.link.establishedSessionsChanged(false);
        Set<NodeSession> there = byServer.get(session.server);
        if (there != null && there.remove(session)) {
            if (there.isEmpty()) {
                byServer.remove(session.server);
            }
            servers.setEstablishedSessions(session.server, there.size());
        }
    }

    /** The sessions that stood at a server before a time, ms on the scheduler's clock. */
    List<NodeSession> at(String server, double before) {
        return byServer.getOrDefault(server, Set.of()).stream()
                .filter(session -> session.standsSince < before)
                .toList();
    }
}
