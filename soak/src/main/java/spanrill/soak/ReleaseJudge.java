package spanrill.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Judges whether what stood and is over was released in time, towards the client and at the server. */
final class ReleaseJudge {
    /** "Within 1 s of the release", and the protocol's 50 ms. */
    private static final double RELEASE_MS = 1050;
    /** "If no release could be sent, within 8 s of its end", and the protocol's 50 ms. */
    private static final double CUT_MS = 8050;
    /** Faults this long before may still explain what happens now, ms. */
    private static final double FAULT_MS = 3000;

    private final List<SoakEvent> events;
    private final List<NodeLife> lives;
    private final Map<Long, RequestTrace> requests;
    private final Map<Integer, Double> connectionEnds = new HashMap<>();
    private final double endMs;

    ReleaseJudge(List<SoakEvent> events, List<NodeLife> lives, Map<Long, RequestTrace> requests) {
        this.events = events;
        this.lives = lives;
        this.requests = requests;
        endMs = events.get(events.size() - 1).ms();
        for (SoakEvent event : events) {
            if (event.kind() == EventKind.NODE_CLOSED || event.kind() == EventKind.CLIENT_CLOSED) {
                connectionEnds.putIfAbsent(event.connection(), event.ms());
            }
        }
    }

    List<Violation> violations() {
        List<Violation> found = new ArrayList<>();
        for (SoakEvent event : events) {
            RequestTrace request = requests.get(event.session());
            if (request == null || !request.stood() || !calm(event)) {
                continue;
            }
            if (event.kind() == EventKind.SERVER_ENDED && !toldToClient(request, event)) {
                found.add(new Violation(
                        Rule.RELEASE,
                        event.ms(),
                        event.session(),
                        "its client was not told within 1 s that its session is over"));
            }
            if (event.kind() == EventKind.CLIENT_CANCELLED && event.code() == 1 && !endedAtServer(event)) {
                found.add(new Violation(
                        Rule.RELEASE,
                        event.ms(),
                        event.session(),
                        "its server was not told within 1 s that its session is over"));
            }
        }
        cutSessions(found);
        return found;
    }

    /** Nothing else explains a release that stays out: no signal, no fault of a server, time enough. */
    private boolean calm(SoakEvent at) {
        boolean lives1s = lives.stream()
                .anyMatch(life -> life.node() == at.node()
                        && at.ms() >= life.readyAt()
                        && at.ms() + RELEASE_MS < Math.min(life.exitAt(), Math.min(life.termAt(), life.killAt())));
        boolean faults = events.stream()
                .anyMatch(e -> e.kind() == EventKind.FAULT
                        && e.peer().startsWith("SERVER_")
                        && e.ms() > at.ms() - FAULT_MS
                        && e.ms() < at.ms() + RELEASE_MS);
        return lives1s && !faults && at.ms() + RELEASE_MS < endMs;
    }

    private boolean toldToClient(RequestTrace request, SoakEvent ended) {
        return toldToClient(request, ended.ms(), RELEASE_MS);
    }

    /** True when the client was told in time, or nobody could: it had left, or its connection had ended. */
    private boolean toldToClient(RequestTrace request, double endedMs, double withinMs) {
        int connection = request.connectionAt(endedMs);
        boolean reachable = connectionEnds.getOrDefault(connection, Double.POSITIVE_INFINITY) > endedMs + withinMs;
        boolean heard = request.heard().stream()
                .anyMatch(h -> h.kind() == EventKind.CLIENT_RELEASED && h.ms() <= endedMs + withinMs);
        boolean left = events.stream()
                .anyMatch(e -> e.session() == request.session()
                        && (e.kind() == EventKind.CLIENT_CANCELLED || e.kind() == EventKind.CLIENT_MOVED)
                        && e.ms() <= endedMs + withinMs);
        return heard || left || !reachable;
    }

    /** Sessions that were cut as their server died: nobody sends a release, the node has to find out. */
    private void cutSessions(List<Violation> found) {
        for (SoakEvent death : events) {
            if (death.kind() != EventKind.SERVER_LOST || death.node() >= 0) {
                continue;
            }
            for (RequestTrace request : requests.values()) {
                SoakEvent answer = request.answer();
                boolean stood = answer != null
                        && answer.kind() == EventKind.CLIENT_ANSWERED
                        && answer.peer().equals(death.peer())
                        && answer.ms() < death.ms()
                        && request.heard().size() == 1;
                if (stood && undisturbed(request, death.ms()) && !toldToClient(request, death.ms(), CUT_MS)) {
                    found.add(new Violation(
                            Rule.RELEASE, death.ms(), request.session(), "cut with its server, its client not told"));
                }
            }
        }
    }

    /** True when the node that holds the session lives on, unasked to stop, until the client must be told. */
    private boolean undisturbed(RequestTrace request, double fromMs) {
        int node = request.nodeAt(fromMs);
        return fromMs + CUT_MS < endMs
                && lives.stream()
                        .anyMatch(life -> life.node() == node
                                && fromMs >= life.readyAt()
                                && fromMs + CUT_MS < Math.min(life.exitAt(), Math.min(life.termAt(), life.killAt())));
    }

    private boolean endedAtServer(SoakEvent cancelled) {
        return events.stream()
                .anyMatch(e -> e.session() == cancelled.session()
                        && (e.kind() == EventKind.SERVER_TOLD_TO_END
                                || e.kind() == EventKind.SERVER_ENDED
                                || e.kind() == EventKind.SERVER_LOST)
                        && e.ms() <= cancelled.ms() + RELEASE_MS);
    }
}
