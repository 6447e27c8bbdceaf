package spanrill.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All that was seen of one request and its session. */
final class RequestTrace {
    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** One attempt at a server; its end is {@link #NEVER} while it is out. */
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
            return end == null ? NEVER : end.ms();
        }

        /** True when the server said that it never ran. */
        boolean neverRan() {
            return end != null && end.kind() == EventKind.SERVER_ANSWERED && (end.code() == 34 || end.code() == 102);
        }
    }

    private final long session;
    private final List<SoakEvent> sent = new ArrayList<>();
    private final List<SoakEvent> heard = new ArrayList<>();
    private final List<SoakEvent> serverAnswers = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private double cancelledMs = NEVER;
    private double clientClosedMs = NEVER;
    private final List<SoakEvent> handedOver = new ArrayList<>();

    private RequestTrace(long session) {
        this.session = session;
    }

    /** The traces of all requests of usual clients. */
    static Map<Long, RequestTrace> of(List<SoakEvent> events) {
        Map<Long, RequestTrace> all = new LinkedHashMap<>();
        for (SoakEvent event : events) {
            if (event.kind() == EventKind.CLIENT_SENT) {
                all.computeIfAbsent(event.session(), RequestTrace::new);
            }
        }
        for (SoakEvent event : events) {
            RequestTrace trace = all.get(event.session());
            if (trace != null) {
                trace.take(event);
            }
        }
        return all;
    }

    private void take(SoakEvent event) {
        switch (event.kind()) {
            case CLIENT_SENT -> sent.add(event);
            case CLIENT_ANSWERED, CLIENT_RELEASED -> heard.add(event);
            case CLIENT_CANCELLED -> cancelledMs = Math.min(cancelledMs, event.code() == 0 ? event.ms() : NEVER);
            case CLIENT_CLOSED -> clientClosedMs = Math.min(clientClosedMs, event.ms());
            case CLIENT_HANDED_OVER -> handedOver.add(event);
            case SERVER_SET_UP -> attempts.add(new Attempt(event));
            case SERVER_ANSWERED -> {
                serverAnswers.add(event);
                end(event);
            }
            case SERVER_GIVEN_UP, SERVER_LOST -> end(event);
            default -> {}
        }
    }

    private void end(SoakEvent event) {
        for (Attempt attempt : attempts) {
            if (attempt.end == null && attempt.setUp.peer().equals(event.peer())) {
                attempt.end = event;
            }
        }
    }

    long session() {
        return session;
    }

    /** Deliveries: two where the first crossed the end of its connection. */
    List<SoakEvent> sent() {
        return sent;
    }

    /** Answers and releases that its client heard, in order. */
    List<SoakEvent> heard() {
        return heard;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    boolean answeredBy(String server) {
        return serverAnswers.stream().anyMatch(a -> a.code() == 0 && a.peer().equals(server));
    }

    /** When the client gave it up or closed its connection; infinite where it did not. */
    double clientGoneMs() {
        return Math.min(cancelledMs, clientClosedMs);
    }

    boolean handedOver() {
        return !handedOver.isEmpty();
    }

    /** The connection that its session belonged to at a time. */
    int connectionAt(double ms) {
        return lastBefore(ms).connection();
    }

    /** The node that held its session at a time. */
    int nodeAt(double ms) {
        return lastBefore(ms).node();
    }

    private SoakEvent lastBefore(double ms) {
        return handedOver.stream()
                .filter(event -> event.ms() <= ms)
                .reduce((a, b) -> b)
                .orElse(sent.get(sent.size() - 1));
    }

    /** The client heard that its session stands. */
    boolean stood() {
        return heard.stream().anyMatch(h -> h.kind() == EventKind.CLIENT_ANSWERED);
    }

    /** The first thing that the client heard, or null. */
    SoakEvent answer() {
        return heard.isEmpty() ? null : heard.get(0);
    }
}
