package spanrill.node.session;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The established sessions by server. Keeps the counts of servers and client connections up to date. */
final class EstablishedSessions {
    private final ServerSide servers;
    private final Map<String, Set<NodeSession>> byServer = new HashMap<>();

    EstablishedSessions(ServerSide servers) {
        this.servers = servers;
    }

    /** Adds a session that is established at {@code now}, in ms on the scheduler's clock. */
    void add(NodeSession session, double now) {
        Set<NodeSession> atServer = byServer.computeIfAbsent(session.server, name -> new LinkedHashSet<>());
        atServer.add(session);
        session.link.establishedSessionsChanged(true);
        session.establishedAt = now;
        servers.setEstablishedSessions(session.server, atServer.size());
    }

    /** Removes a session that has ended. */
    void remove(NodeSession session) {
        session.link.establishedSessionsChanged(false);
        Set<NodeSession> atServer = byServer.get(session.server);
        if (atServer != null && atServer.remove(session)) {
            if (atServer.isEmpty()) {
                byServer.remove(session.server);
            }
            servers.setEstablishedSessions(session.server, atServer.size());
        }
    }

    /** Number of sessions at a server. */
    int countAt(String server) {
        return byServer.getOrDefault(server, Set.of()).size();
    }

    /** The sessions at a server that were established before a time, in ms on the scheduler's clock. */
    List<NodeSession> establishedBefore(String server, double time) {
        return byServer.getOrDefault(server, Set.of()).stream()
                .filter(session -> session.establishedAt < time)
                .toList();
    }
}
