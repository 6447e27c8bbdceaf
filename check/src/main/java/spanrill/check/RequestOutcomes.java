package spanrill.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Determines the outcome of each request from the records of its viewer and of its front's process alone. Rule 1, the
 * request tally, the token usage and the report all use these outcomes.
 *
 * <p>A front must answer while its process runs. After a stall the deadline moves by the length of the stall, if the
 * viewer still waits then. A front whose process ended need not answer the requests that it had accepted.
 */
final class RequestOutcomes {
    /**
     * The end of a front's process is recorded before its viewers notice it: a request written up to this long after
     * the record may be lost with the front.
     */
    private static final double KILL_RECORD_LEAD_MS = 1000;

    /** A lost connection may be recorded up to this long before the end of the front's process that caused it. */
    private static final double LOSS_RECORD_LEAD_MS = 50;

    /** Outcome of a request; each request has exactly one. */
    enum Outcome {
        PLAYS,
        REFUSED,
        FAILED,
        NOT_TAKEN,
        LEFT,
        LOST_WITH_FRONT,
        UNANSWERED
    }

    /**
     * A request with its outcome.
     *
     * @param answerRequired true when the request has no answer although a running front had to answer it
     * @param answers number of answer heads that the viewer read
     * @param violations violations of rule 1 by this request
     */
    record RequestOutcome(
            TraceEvent.Request request,
            Outcome outcome,
            boolean answerRequired,
            int answers,
            List<Violation> violations) {}

    /** A violation of rule 1 and its time in ms of the records' clock. */
    record Violation(double t, String text) {}

    /** The records of one request. */
    private static final class RequestRecords {
        private final TraceEvent.Request request;
        private final List<TraceEvent.Answer> answers = new ArrayList<>(1);
        private TraceEvent.RequestAborted aborted;
        private TraceEvent.RequestTimedOut timedOut;

        RequestRecords(TraceEvent.Request request) {
            this.request = request;
        }
    }

    private final AttemptIndex attempts;
    private final Map<Long, RequestRecords> recordsByRequest = new LinkedHashMap<>();
    private final List<RequestOutcome> outcomes = new ArrayList<>();
    private final double endMs;

    /** Determines all outcomes; {@code events} are in order of time. */
    RequestOutcomes(List<TraceEvent> events, AttemptIndex attempts) {
        this.attempts = attempts;
        endMs = events.isEmpty() ? 0 : events.get(events.size() - 1).t();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.Request request) {
                recordsByRequest.putIfAbsent(request.ask(), new RequestRecords(request));
            } else if (event instanceof TraceEvent.Answer answer && recordsByRequest.containsKey(answer.ask())) {
                recordsByRequest.get(answer.ask()).answers.add(answer);
            } else if (event instanceof TraceEvent.RequestAborted aborted
                    && recordsByRequest.containsKey(aborted.ask())) {
                recordsByRequest.get(aborted.ask()).aborted = aborted;
            } else if (event instanceof TraceEvent.RequestTimedOut timedOut
                    && recordsByRequest.containsKey(timedOut.ask())) {
                recordsByRequest.get(timedOut.ask()).timedOut = timedOut;
            }
        }
        recordsByRequest.values().forEach(records -> outcomes.add(determineOutcome(records)));
    }

    /** All requests, in the order in which they were written. */
    Collection<RequestOutcome> all() {
        return outcomes;
    }

    private RequestOutcome determineOutcome(RequestRecords records) {
        List<Violation> violations = new ArrayList<>(0);
        TraceEvent.Request request = records.request;
        for (TraceEvent.Answer extra :
                records.answers.subList(Math.min(1, records.answers.size()), records.answers.size())) {
            violations.add(new Violation(
                    extra.t(), "request " + request.ask() + " was answered more than once: " + extra.answer()));
        }
        boolean answerRequired = false;
        Outcome outcome;
        if (!records.answers.isEmpty()) {
            TraceEvent.Answer first = records.answers.get(0);
            outcome = outcomeOf(first.answer());
            double lateMs = first.t() - request.t() - request.patienceMs();
            if (lateMs > attempts.frontNotRunningMs(request.front(), request.t(), first.t())) {
                violations.add(new Violation(
                        first.t(),
                        String.format(Locale.ROOT, "request %d was answered %.0f ms late", request.ask(), lateMs)));
            }
        } else if (records.aborted != null && records.aborted.viewerLeft()) {
            outcome = Outcome.LEFT;
        } else if (records.aborted != null) {
            double lostAtMs = records.aborted.t();
            double fromMs = request.t() - KILL_RECORD_LEAD_MS;
            boolean frontDown = attempts.wasFrontDown(request.front(), fromMs, lostAtMs + LOSS_RECORD_LEAD_MS);
            outcome = frontDown ? Outcome.LOST_WITH_FRONT : Outcome.UNANSWERED;
            answerRequired = !frontDown
                    && attempts.frontNotRunningMs(request.front(), fromMs, lostAtMs + LOSS_RECORD_LEAD_MS) == 0;
            if (answerRequired) {
                violations.add(new Violation(
                        lostAtMs,
                        "request " + request.ask() + " lost its connection to running front " + request.front()));
            }
        } else {
            double untilMs = records.timedOut == null ? endMs : records.timedOut.t();
            boolean frontDown = attempts.wasFrontDown(request.front(), request.t(), untilMs);
            outcome = frontDown ? Outcome.LOST_WITH_FRONT : Outcome.UNANSWERED;
            double deadlineMs = request.t()
                    + request.patienceMs()
                    + attempts.frontNotRunningMs(request.front(), request.t(), untilMs);
            answerRequired = !frontDown && deadlineMs < untilMs;
            if (answerRequired) {
                violations.add(new Violation(
                        deadlineMs,
                        "request " + request.ask() + " of class " + request.cls() + " got no answer from front "
                                + request.front()));
            }
        }
        return new RequestOutcome(request, outcome, answerRequired, records.answers.size(), violations);
    }

    private static Outcome outcomeOf(String answer) {
        return switch (answer) {
            case "plays" -> Outcome.PLAYS;
            case "refused" -> Outcome.REFUSED;
            case "failed" -> Outcome.FAILED;
            default -> Outcome.NOT_TAKEN;
        };
    }
}
