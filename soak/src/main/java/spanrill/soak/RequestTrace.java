package spanrill.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The recorded events of one request and its session. */
final class RequestTrace {
    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** An attempt at a server; its end is {@link #NEVER} while it is outstanding. */
    static final class Attempt {
        private final SoakEvent setUp;
        private SoakEvent end;

        Attempt(SoakEvent setUp) {
            this.setUp = setUp;
        }

        SoakEvent setUp() {
            return setUp;
        }

        double endMs() {
            return end == null ? NEVER : end.atMs();
        }

        /** Returns true if the server proved by cause 34 (full) or 102 (expired) that the set-up did not run. */
        boolean neverRan() {
            return end != null && end.kind() == EventKind.SERVER_ANSWERED && (end.code() == 34 || end.code() == 102);
        }
    }

    private final long session;
    private final List<SoakEvent> sent = new ArrayList<>();
    private final List<SoakEvent> received = new ArrayList<>();
    private final List<SoakEvent> serverAnswers = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private double cancelledMs = NEVER;
    private double clientClosedMs = NEVER;
    private final List<SoakEvent> handOvers = new ArrayList<>();

    private RequestTrace(long session) {
        this.session = session;
    }

    /** Returns the traces of all requests of regular clients by session. */
    static Map<Long, RequestTrace> of(List<SoakEvent> events) {
        Map<Long, RequestTrace> traces = new LinkedHashMap<>();
        for (SoakEvent event : events) {
            if (event.kind() == EventKind.CLIENT_SENT) {
                traces.computeIfAbsent(event.session(), RequestTrace::new);
            }
        }
        for (SoakEvent event : events) {
            RequestTrace trace = traces.get(event.session());
            if (trace != null) {
                trace.add(event);
            }
        }
        return traces;
    }

    private void add(SoakEvent event) {
        switch (event.kind()) {
            case CLIENT_SENT -> sent.add(event);
            case CLIENT_ANSWERED, CLIENT_RELEASED -> received.add(event);
            case CLIENT_CANCELLED -> cancelledMs = Math.min(cancelledMs, event.code() == 0 ? event.atMs() : NEVER);
            case CLIENT_CLOSED -> clientClosedMs = Math.min(clientClosedMs, event.atMs());
            case CLIENT_HANDED_OVER -> handOvers.add(event);
            case SERVER_SET_UP -> attempts.add(new Attempt(event));
            case SERVER_ANSWERED -> {
                serverAnswers.add(event);
                endAttempts(event);
            }
            case SERVER_GIVEN_UP, SERVER_LOST -> endAttempts(event);
            default -> {}
        }
    }

    private void endAttempts(SoakEvent event) {
        for (Attempt attempt : attempts) {
            if (attempt.end == null && attempt.setUp.peer().equals(event.peer())) {
                attempt.end = event;
            }
        }
    }

    long session() {
        return session;
    }

    /** Returns the set-ups sent: two if the connection of the first ended at about the same time. */
    List<SoakEvent> sent() {
        return sent;
    }

    /** Returns the answers and releases that the client received, in order. */
    List<SoakEvent> received() {
        return received;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    boolean answeredBy(String server) {
        return serverAnswers.stream()
                .anyMatch(answer -> answer.code() == 0 && answer.peer().equals(server));
    }

    /** Returns when the client cancelled the request or closed its connection, ms; infinite if it did neither. */
    double clientGoneMs() {
        return Math.min(cancelledMs, clientClosedMs);
    }

    boolean wasHandedOver() {
        return !handOvers.isEmpty();
    }

    /** Returns the connection that the session belonged to at a time. */
    int connectionAt(double ms) {
        return lastBefore(ms).connection();
    }

    /** Returns the node that held the session at a time. */
    int nodeAt(double ms) {
        return lastBefore(ms).node();
    }

    private SoakEvent lastBefore(double ms) {
        return handOvers.stream()
                .filter(event -> event.atMs() <= ms)
                .reduce((a, b) -> b)
                .orElse(sent.get(sent.size() - 1));
    }

    /** Returns true if the client received an answer that established the session. */
    boolean wasEstablished() {
        return received.stream().anyMatch(reply -> reply.kind() == EventKind.CLIENT_ANSWERED);
    }

    /** Returns the first answer or release that the client received, null if there is none. */
    SoakEvent firstReply() {
        return received.isEmpty() ? null : received.get(0);
    }
}
