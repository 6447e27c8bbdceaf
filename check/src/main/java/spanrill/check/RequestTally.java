package spanrill.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the requests of a run by outcome. Each request is counted once, so that {@code requests} is the sum of the
 * outcomes; {@code excused} is a part of {@code unanswered}.
 *
 * @param requests requests that viewers wrote
 * @param plays requests answered with "plays"
 * @param refused requests answered with "refused"
 * @param failed requests answered with "failed"
 * @param notTaken requests with any other answer, which the front never accepted
 * @param unanswered requests without an answer whose viewer waited and whose front did not die
 * @param excused unanswered requests that rule 1 excuses, because the front stalled or the records end before the
 *     deadline
 * @param left requests whose viewer left before the answer
 * @param lostWithFront requests whose front died
 */
public record RequestTally(
        long requests,
        long plays,
        long refused,
        long failed,
        long notTaken,
        long unanswered,
        long excused,
        long left,
        long lostWithFront) {

    /** Counts the requests in the records of a run. */
    public static RequestTally of(List<TraceEvent> records) {
        List<TraceEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TraceEvent::t));
        Map<RequestOutcomes.Outcome, Long> counts = new EnumMap<>(RequestOutcomes.Outcome.class);
        long excused = 0;
        for (RequestOutcomes.RequestOutcome result : new RequestOutcomes(events, new AttemptIndex(events)).all()) {
            counts.merge(result.outcome(), 1L, Long::sum);
            excused += result.outcome() == RequestOutcomes.Outcome.UNANSWERED && !result.answerRequired() ? 1 : 0;
        }
        // Counted from the records and not as a sum, so that isConsistent() detects a request without an outcome.
        long requests =
                events.stream().filter(TraceEvent.Request.class::isInstance).count();
        return new RequestTally(
                requests,
                count(counts, RequestOutcomes.Outcome.PLAYS),
                count(counts, RequestOutcomes.Outcome.REFUSED),
                count(counts, RequestOutcomes.Outcome.FAILED),
                count(counts, RequestOutcomes.Outcome.NOT_TAKEN),
                count(counts, RequestOutcomes.Outcome.UNANSWERED),
                excused,
                count(counts, RequestOutcomes.Outcome.LEFT),
                count(counts, RequestOutcomes.Outcome.LOST_WITH_FRONT));
    }

    private static long count(Map<RequestOutcomes.Outcome, Long> counts, RequestOutcomes.Outcome outcome) {
        return counts.getOrDefault(outcome, 0L);
    }

    /** Sum of the outcomes. */
    public long sum() {
        return plays + refused + failed + notTaken + unanswered + left + lostWithFront;
    }

    /** True when every request is counted exactly once. */
    public boolean isConsistent() {
        return requests == sum();
    }
}
