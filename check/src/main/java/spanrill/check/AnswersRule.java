package spanrill.check;

import java.util.List;

/**
 * Rule 1: a request that a running front took gets exactly one answer before the viewer's time is up. What
 * each request came to is judged by {@link Requests}.
 */
final class AnswersRule implements Rule {
    @Override
    public Verdict evaluate(TraceEvent.RunParameters facts, List<TraceEvent> events, Attempts attempts) {
        Verdict verdict = new Verdict(1, "exactly one answer in time");
        for (Requests.Judged request : new Requests(events, attempts).all()) {
            verdict.countCheck();
            request.faults().forEach(fault -> verdict.addViolation(fault.t(), fault.text()));
        }
        return verdict;
    }
}
