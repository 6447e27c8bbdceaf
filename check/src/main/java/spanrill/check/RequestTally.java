package spanrill.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * What the requests of a run came to; each is counted once, so that {@code requests} is the sum of the
 * others.
 *
 * @param requests requests that viewers wrote
 * @param plays answered: plays
 * @param refused answered: refused
 * @param failed answered: failed
 * @param notTaken answered otherwise: never taken
 * @param unanswered without an answer, though their viewer waited and their front did not die
 * @param excused of the unanswered, those that rule 1 excuses: their front stood still, or the records end
 *     before their time was up
 * @param left their viewer left before the answer
 * @param lostWithFront their front died
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

    /** Counts. */
    public static RequestTally of(List<TraceEvent> records) {
        List<TraceEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TraceEvent::t));
        Map<Requests.Fate, Long> counts = new EnumMap<>(Requests.Fate.class);
        long excused = 0;
        for (Requests.Judged request : new Requests(events, new Attempts(events)).all()) {
            counts.merge(request.fate(), 1L, Long::sum);
            excused += request.fate() == Requests.Fate.UNANSWERED && !request.owed() ? 1 : 0;
        }
        // Counted from the records themselves, not as a sum: what is judged must be all there is.
        long requests =
                events.stream().filter(TraceEvent.Request.class::isInstance).count();
        return new RequestTally(
                requests,
                count(counts, Requests.Fate.PLAYS),
                count(counts, Requests.Fate.REFUSED),
                count(counts, Requests.Fate.FAILED),
                count(counts, Requests.Fate.NOT_TAKEN),
                count(counts, Requests.Fate.UNANSWERED),
                excused,
                count(counts, Requests.Fate.LEFT),
                count(counts, Requests.Fate.LOST_WITH_FRONT));
    }

    private static long count(Map<Requests.Fate, Long> counts, Requests.Fate fate) {
        return counts.getOrDefault(fate, 0L);
    }

    /** What the parts add up to. */
    public long sum() {
        return plays + refused + failed + notTaken + unanswered + left + lostWithFront;
    }

    /** True when every request is counted, and once. */
    public boolean isConsistent() {
        return requests == sum();
    }
}
