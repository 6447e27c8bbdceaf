package spanrill.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that the end of an established session is passed on to its client or server in time. */
final class ReleaseChecker {
    /** Deadline in ms for passing on the end of a session, including the protocol's tolerance of 50 ms. */
    private static final double RELEASE_DEADLINE_MS = 1050;
    /** Deadline in ms after the end of a session if no release could be sent, including the tolerance of 50 ms. */
    private static final double LOST_SERVER_DEADLINE_MS = 8050;
    /** Time for which a server fault may still delay a release, ms. */
    private static final double FAULT_INFLUENCE_MS = 3000;

    private final List<SoakEvent> events;
    private final List<ProcessLifetime> lifetimes;
    private final Map<Long, RequestTrace> requests;
    private final Map<Integer, Double> connectionEnds = new HashMap<>();
    private final NodePauses pauses;
    private final double endMs;

    ReleaseChecker(List<SoakEvent> events, List<ProcessLifetime> lifetimes, Map<Long, RequestTrace> requests) {
        this.events = events;
        this.lifetimes = lifetimes;
        this.requests = requests;
        pauses = new NodePauses(events);
        endMs = events.get(events.size() - 1).atMs();
        for (SoakEvent event : events) {
            if (event.kind() == EventKind.NODE_CLOSED || event.kind() == EventKind.CLIENT_CLOSED) {
                connectionEnds.putIfAbsent(event.connection(), event.atMs());
            }
        }
    }

    List<Violation> violations() {
        List<Violation> violations = new ArrayList<>();
        for (SoakEvent event : events) {
            RequestTrace request = requests.get(event.session());
            if (request == null || !request.wasEstablished() || !isUndisturbed(event)) {
                continue;
            }
            if (event.kind() == EventKind.SERVER_ENDED && !clientNotified(request, event)) {
                violations.add(new Violation(
                        Rule.RELEASE,
                        event.atMs(),
                        event.session(),
                        "the client was not notified within 1 s that its session ended"));
            }
            if (event.kind() == EventKind.CLIENT_CANCELLED && event.code() == 1 && !serverNotified(event)) {
                violations.add(new Violation(
                        Rule.RELEASE,
                        event.atMs(),
                        event.session(),
                        "the server was not notified within 1 s that its session ended"));
            }
        }
        checkLostSessions(violations);
        return violations;
    }

    /**
     * Returns true if a missing release is the node's fault: the node is ready and receives no signal, no server has a
     * fault, and the trial lasts long enough.
     */
    private boolean isUndisturbed(SoakEvent event) {
        boolean nodeKeepsRunning = lifetimes.stream()
                .anyMatch(lifetime -> lifetime.node() == event.node()
                        && event.atMs() >= lifetime.readyAtMs()
                        && dueMs(event)
                                < Math.min(lifetime.exitAtMs(), Math.min(lifetime.termAtMs(), lifetime.killAtMs())));
        boolean disturbed = events.stream()
                .anyMatch(e -> e.kind() == EventKind.FAULT
                        && e.peer().startsWith("SERVER_")
                        && e.atMs() + influenceMs(e) > event.atMs()
                        && e.atMs() < dueMs(event));
        return nodeKeepsRunning && !disturbed && dueMs(event) < endMs;
    }

    /** Time for which a fault may delay releases: a server that has vanished takes none until it is back. */
    private static double influenceMs(SoakEvent fault) {
        boolean lasting = fault.peer().equals(FaultKind.SERVER_GROUP_VANISHES.name());
        return FAULT_INFLUENCE_MS + (lasting ? fault.code() : 0);
    }

    /** Returns when a release is due; a node that is stopped then can send it only once it is continued. */
    private double dueMs(SoakEvent ended) {
        return pauses.extendDue(ended.node(), ended.atMs() + RELEASE_DEADLINE_MS);
    }

    private boolean clientNotified(RequestTrace request, SoakEvent ended) {
        return clientNotified(request, ended.atMs(), dueMs(ended) - ended.atMs());
    }

    /** Returns true if the client was notified in time, had left or had lost its connection. */
    private boolean clientNotified(RequestTrace request, double endedMs, double withinMs) {
        int connection = request.connectionAt(endedMs);
        boolean reachable = connectionEnds.getOrDefault(connection, Double.POSITIVE_INFINITY) > endedMs + withinMs;
        boolean released = request.received().stream()
                .anyMatch(reply -> reply.kind() == EventKind.CLIENT_RELEASED && reply.atMs() <= endedMs + withinMs);
        boolean clientLeft = events.stream()
                .anyMatch(e -> e.session() == request.session()
                        && (e.kind() == EventKind.CLIENT_CANCELLED || e.kind() == EventKind.CLIENT_MOVED)
                        && e.atMs() <= endedMs + withinMs);
        return released || clientLeft || !reachable;
    }

    /** Checks sessions that were lost with their server: no release is sent, and the node must detect the loss. */
    private void checkLostSessions(List<Violation> violations) {
        for (SoakEvent serverLoss : events) {
            if (serverLoss.kind() != EventKind.SERVER_LOST || serverLoss.node() >= 0) {
                continue;
            }
            for (RequestTrace request : requests.values()) {
                SoakEvent firstReply = request.firstReply();
                boolean wasEstablished = firstReply != null
                        && firstReply.kind() == EventKind.CLIENT_ANSWERED
                        && firstReply.peer().equals(serverLoss.peer())
                        && firstReply.atMs() < serverLoss.atMs()
                        && request.received().size() == 1;
                if (wasEstablished
                        && nodeKeepsRunning(request, serverLoss.atMs())
                        && !clientNotified(request, serverLoss.atMs(), LOST_SERVER_DEADLINE_MS)) {
                    violations.add(new Violation(
                            Rule.RELEASE,
                            serverLoss.atMs(),
                            request.session(),
                            "session lost with its server, the client was not notified within 8 s"));
                }
            }
        }
    }

    /** Returns true if the node of the session runs without a signal until the client must be notified. */
    private boolean nodeKeepsRunning(RequestTrace request, double fromMs) {
        int node = request.nodeAt(fromMs);
        return fromMs + LOST_SERVER_DEADLINE_MS < endMs
                && lifetimes.stream()
                        .anyMatch(lifetime -> lifetime.node() == node
                                && fromMs >= lifetime.readyAtMs()
                                && fromMs + LOST_SERVER_DEADLINE_MS
                                        < Math.min(
                                                lifetime.exitAtMs(),
                                                Math.min(lifetime.termAtMs(), lifetime.killAtMs())));
    }

    private boolean serverNotified(SoakEvent cancelled) {
        return events.stream()
                .anyMatch(e -> e.session() == cancelled.session()
                        && (e.kind() == EventKind.SERVER_TOLD_TO_END
                                || e.kind() == EventKind.SERVER_ENDED
                                || e.kind() == EventKind.SERVER_LOST)
                        && e.atMs() <= dueMs(cancelled));
    }
}
