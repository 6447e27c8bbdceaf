package spanrill.check;

import java.util.List;

/**
 * Rule 1: a running front answers each request that it accepted exactly once and before the viewer's patience ends.
 * {@link RequestOutcomes} determines the violations.
 */
final class SingleAnswerRule implements Rule {
    @Override
    public Verdict evaluate(TraceEvent.RunParameters parameters, List<TraceEvent> events, AttemptIndex attempts) {
        Verdict verdict = new Verdict(1, "exactly one answer in time");
        for (RequestOutcomes.RequestOutcome request : new RequestOutcomes(events, attempts).all()) {
            verdict.countCheck();
            request.violations().forEach(violation -> verdict.addViolation(violation.t(), violation.text()));
        }
        return verdict;
    }
}
