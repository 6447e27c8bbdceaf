package spanrill.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import spanrill.soak.RequestTrace.Attempt;

/** Checks the events of a trial against the rules of the protocol, independently of the node's code. */
public final class ProtocolChecker {
    /** The protocol extends each time limit by this, ms. */
    private static final double TOLERANCE_MS = 50;
    /** Longest delay after the deadline at which an answer is only worthless, ms; later, the request counts as lost. */
    private static final double LOST_AFTER_MS = 500;

    private static final double READY_DEADLINE_MS = 10_000;
    /** Time after a client has left at which no attempt may begin any more, ms. */
    private static final double CLIENT_GONE_TOLERANCE_MS = 100;

    /** Number of requests with such an attempt from which the rule counts as broken. */
    private static final int MIN_GONE_CLIENT_CASES = 3;

    private static final Set<Integer> REFUSAL_CAUSES = Set.of(34, 42, 102);

    private final Trial trial;
    private final List<SoakEvent> events;
    private final List<ProcessLifetime> lifetimes;
    private final Map<Long, RequestTrace> requests;
    private final Map<Integer, SoakEvent> closedByNode = new HashMap<>();
    private final NodePauses pauses;
    private final List<Violation> violations = new ArrayList<>();

    /** Creates a checker of a trial's events, which are in order of time. */
    public ProtocolChecker(Trial trial, List<SoakEvent> events) {
        this.trial = trial;
        this.events = events;
        lifetimes = ProcessLifetime.of(events);
        requests = RequestTrace.of(events);
        pauses = new NodePauses(events);
        for (SoakEvent event : events) {
            if (event.kind() == EventKind.NODE_CLOSED) {
                closedByNode.put(event.connection(), event);
            }
        }
    }

    /** Returns all violations in order of time. */
    public List<Violation> violations() {
        requests.values().forEach(this::checkRequest);
        checkGoneClients();
        checkProcesses();
        checkBadClients();
        violations.addAll(new DrainChecker(events, lifetimes).violations());
        violations.addAll(new ColdServerChecker(trial, events).violations());
        violations.addAll(new ReleaseChecker(events, lifetimes, requests).violations());
        violations.sort(Comparator.comparingDouble(Violation::atMs));
        return violations;
    }

    private void addViolation(Rule rule, double atMs, long session, String description) {
        violations.add(new Violation(rule, atMs, session, description));
    }

    private Trial.ClassPlan serviceClass(RequestTrace request) {
        String name = request.sent().get(0).peer();
        return trial.classes().stream()
                .filter(c -> c.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private void checkRequest(RequestTrace request) {
        checkAnswers(request);
        checkDeliveries(request);
        if (serviceClass(request).once()) {
            checkRepetitions(request);
        }
        if (request.attempts().size() > Trial.MAX_ATTEMPTS * request.sent().size()) {
            addViolation(
                    Rule.ATTEMPTS,
                    request.sent().get(0).atMs(),
                    request.session(),
                    request.attempts().size() + " attempts, more than the settings allow");
        }
        checkConcurrentAttempts(request);
    }

    // ---- answers

    private void checkAnswers(RequestTrace request) {
        SoakEvent firstReply = request.firstReply();
        boolean established = false;
        for (SoakEvent received : request.received()) {
            boolean isAnswer = received.kind() == EventKind.CLIENT_ANSWERED;
            if (isAnswer && (received.code() != 0 || !request.answeredBy(received.peer()))) {
                addViolation(
                        Rule.LOST,
                        received.atMs(),
                        request.session(),
                        "answered with a description that no server issued for it");
            }
            boolean repeated = received != firstReply && (isAnswer || !established);
            if (repeated && request.clientGoneMs() == Double.POSITIVE_INFINITY && !request.wasHandedOver()) {
                addViolation(
                        Rule.LOST, received.atMs(), request.session(), "second answer with cause " + received.code());
            }
            established |= isAnswer;
        }
        if (firstReply == null || request.clientGoneMs() <= firstReply.atMs()) {
            return;
        }
        SoakEvent lastSent = request.sent().get(request.sent().size() - 1);
        double elapsedMs = firstReply.atMs() - lastSent.atMs();
        double dueMs = lastSent.atMs() + request.sent().get(0).code() + LOST_AFTER_MS + TOLERANCE_MS;
        if (firstReply.atMs() > pauses.extendDue(firstReply.node(), dueMs)) {
            addViolation(
                    Rule.LOST,
                    firstReply.atMs(),
                    request.session(),
                    String.format(Locale.ROOT, "answered %.0f ms after it was sent", elapsedMs));
        }
        for (Attempt attempt : request.attempts()) {
            if (attempt.setUp().atMs() > firstReply.atMs() + TOLERANCE_MS && !request.wasHandedOver()) {
                addViolation(Rule.LOST, attempt.setUp().atMs(), request.session(), "attempt began after the answer");
            }
        }
    }

    /** Checks each set-up sent to see that it got an answer or that no answer was due. */
    private void checkDeliveries(RequestTrace request) {
        for (int i = 0; i < request.sent().size(); i++) {
            SoakEvent sent = request.sent().get(i);
            SoakEvent connectionEnd = closedByNode.get(sent.connection());
            boolean receivedReply =
                    request.received().stream().anyMatch(reply -> reply.connection() == sent.connection());
            if (receivedReply || request.clientGoneMs() < Double.POSITIVE_INFINITY) {
                continue;
            }
            if (connectionEnd == null) {
                if (i == request.sent().size() - 1) {
                    addViolation(
                            Rule.LOST, sent.atMs(), request.session(), "no answer, and the connection is still open");
                }
            } else if (connectionEnd.atMs() >= sent.atMs()) {
                double nextMs = i + 1 < request.sent().size()
                        ? request.sent().get(i + 1).atMs()
                        : Double.POSITIVE_INFINITY;
                checkUnanswered(request, sent, connectionEnd, nextMs);
            }
        }
    }

    /**
     * Checks a set-up without an answer whose connection the node closed. SIGKILL without SIGTERM excuses the node. So
     * does a set-up that the node did not forward, if it was the first on its connection or the connection ended within
     * {@link ClientPopulation#CROSSING_MS}.
     *
     * @param nextMs when the request was sent again on another connection, infinite if it was not
     */
    private void checkUnanswered(RequestTrace request, SoakEvent sent, SoakEvent connectionEnd, double nextMs) {
        ProcessLifetime lifetime = lifetimes.stream()
                .filter(process -> process.node() == sent.node() && process.isRunningAt(sent.atMs()))
                .findFirst()
                .orElse(null);
        boolean forwarded = request.attempts().stream()
                .anyMatch(attempt -> attempt.setUp().node() == sent.node()
                        && attempt.setUp().atMs() >= sent.atMs() - TOLERANCE_MS
                        && attempt.setUp().atMs() < nextMs);
        boolean wasKilled = lifetime != null
                && lifetime.killedWithoutTerm()
                && lifetime.killAtMs() <= connectionEnd.atMs() + TOLERANCE_MS;
        boolean closedSoonAfterSend = connectionEnd.atMs() - sent.atMs() <= ClientPopulation.CROSSING_MS;
        boolean firstOnConnection = isFirstOnConnection(sent);
        if (wasKilled || (!forwarded && (closedSoonAfterSend || firstOnConnection))) {
            return;
        }
        boolean endedBySigkill = lifetime != null && lifetime.killAtMs() <= connectionEnd.atMs() + TOLERANCE_MS;
        String description = String.format(
                Locale.ROOT,
                "%s %.0f ms after the set-up was sent%s",
                endedBySigkill ? "unanswered at SIGKILL" : "the node closed the connection",
                connectionEnd.atMs() - sent.atMs(),
                lifetime != null && sent.atMs() > lifetime.termAtMs()
                        ? String.format(Locale.ROOT, ", sent %.0f ms after SIGTERM", sent.atMs() - lifetime.termAtMs())
                        : "");
        addViolation(Rule.LOST, connectionEnd.atMs(), request.session(), description);
    }

    private boolean isFirstOnConnection(SoakEvent sent) {
        return events.stream()
                .filter(e -> e.kind() == EventKind.CLIENT_SENT && e.connection() == sent.connection())
                .findFirst()
                .filter(first -> first.session() == sent.session())
                .isPresent();
    }

    // ---- attempts

    private void checkRepetitions(RequestTrace request) {
        if (request.sent().size() > 1) {
            return;
        }
        List<Attempt> attempts = request.attempts();
        for (int i = 1; i < attempts.size(); i++) {
            if (!attempts.get(i - 1).neverRan()) {
                addViolation(
                        Rule.DUPLICATE,
                        attempts.get(i).setUp().atMs(),
                        request.session(),
                        "repeated without proof that the previous attempt did not run");
            }
        }
        SoakEvent firstReply = request.firstReply();
        boolean wasRefused = firstReply != null
                && firstReply.kind() == EventKind.CLIENT_RELEASED
                && REFUSAL_CAUSES.contains(firstReply.code());
        if (wasRefused && attempts.stream().anyMatch(a -> !a.neverRan())) {
            addViolation(
                    Rule.DUPLICATE, firstReply.atMs(), request.session(), "refused though an attempt may have run");
        }
    }

    private void checkConcurrentAttempts(RequestTrace request) {
        List<Attempt> attempts = request.attempts();
        for (int i = 1; i < attempts.size(); i++) {
            for (int j = 0; j < i; j++) {
                boolean sameNode = attempts.get(i).setUp().node()
                        == attempts.get(j).setUp().node();
                if (sameNode
                        && attempts.get(j).endMs() > attempts.get(i).setUp().atMs() + TOLERANCE_MS
                        && !anyServerWasSilent()) {
                    addViolation(
                            Rule.TWO_OUT,
                            attempts.get(i).setUp().atMs(),
                            request.session(),
                            "the attempt at " + attempts.get(j).setUp().peer() + " was still outstanding");
                }
            }
        }
    }

    /**
     * Returns true if a server was silent or had vanished during the trial. It receives no cancellation, so that a
     * node cannot end an attempt there.
     */
    private boolean anyServerWasSilent() {
        return events.stream()
                .anyMatch(event -> event.kind() == EventKind.FAULT
                        && (event.peer().equals(FaultKind.SERVER_SILENT.name())
                                || event.peer().equals(FaultKind.SERVER_GROUP_VANISHES.name())));
    }

    private void checkGoneClients() {
        Set<Long> lateRequests = new HashSet<>();
        double lastMs = 0;
        for (RequestTrace request : requests.values()) {
            for (Attempt attempt : request.attempts()) {
                if (attempt.setUp().atMs() > request.clientGoneMs() + CLIENT_GONE_TOLERANCE_MS) {
                    lateRequests.add(request.session());
                    lastMs = attempt.setUp().atMs();
                }
            }
        }
        if (lateRequests.size() >= MIN_GONE_CLIENT_CASES) {
            addViolation(
                    Rule.GONE_CLIENT,
                    lastMs,
                    lateRequests.iterator().next(),
                    lateRequests.size() + " requests had attempts over 0.1 s after their clients had left");
        }
    }

    // ---- processes and bad clients

    private void checkProcesses() {
        for (ProcessLifetime lifetime : lifetimes) {
            boolean exited = lifetime.exitAtMs() < Double.POSITIVE_INFINITY;
            boolean wasKilled = lifetime.killAtMs() < Double.POSITIVE_INFINITY;
            if (exited && !wasKilled && (lifetime.termAtMs() == Double.POSITIVE_INFINITY || lifetime.exitCode() != 0)) {
                addViolation(
                        Rule.CRASH,
                        lifetime.exitAtMs(),
                        0,
                        "n" + lifetime.node() + " exited with code " + lifetime.exitCode());
            }
            double endMs =
                    Math.min(lifetime.exitAtMs(), events.get(events.size() - 1).atMs());
            if (Math.min(lifetime.readyAtMs(), endMs) - lifetime.startedAtMs() > READY_DEADLINE_MS) {
                addViolation(
                        Rule.START, lifetime.startedAtMs(), 0, "n" + lifetime.node() + " was not ready within 10 s");
            }
        }
    }

    private void checkBadClients() {
        for (SoakEvent event : events) {
            if (event.kind() == EventKind.BAD_CLIENT_DONE && event.code() == 0) {
                addViolation(
                        Rule.BAD_CLIENT,
                        event.atMs(),
                        0,
                        event.peer() + " got no refusal or close within 3 s from n" + event.node());
            } else if (event.kind() == EventKind.BAD_CLIENT_SERVED) {
                addViolation(
                        Rule.BAD_CLIENT, event.atMs(), 0, event.peer() + " received an answer from n" + event.node());
            }
        }
    }
}
