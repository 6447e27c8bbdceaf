package spanrill.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Answers and tickets of a run, counted from the records of viewers and boxes alone.
 *
 * @param requests requests that viewers wrote
 * @param excused of these, those whose viewer left or whose front died or stood still meanwhile
 * @param tokens distinct tokens
 * @param leastAnswers answers to a request that is not excused, at least
 * @param mostAnswers answers to any request, at most
 * @param mostSpends times that a box spent one paid token, at most
 * @param spent paid tokens that were spent
 * @param joined requests that shared the session of another request of their token
 * @param failedUnknown requests answered "failed" though no box ran anything for their token
 * @param failedRan requests answered "failed" whose token a box did run
 */
public record Tickets(
        long requests,
        long excused,
        long tokens,
        long leastAnswers,
        long mostAnswers,
        long mostSpends,
        long spent,
        long joined,
        long failedUnknown,
        long failedRan) {

    /** True when every request had exactly one answer and no token was spent twice. */
    public boolean held() {
        return requests > 0 && leastAnswers == 1 && mostAnswers == 1 && mostSpends <= 1;
    }

    /** Counts. */
    public static Tickets of(List<TapEvent> records) {
        List<TapEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TapEvent::t));
        Attempts attempts = new Attempts(events);
        Map<String, Integer> plays = new HashMap<>();
        Set<String> tokens = new HashSet<>();
        List<String> failed = new ArrayList<>();
        long requests = 0;
        long excused = 0;
        long least = Long.MAX_VALUE;
        long most = 0;
        for (Requests.Judged request : new Requests(events, attempts).all()) {
            requests++;
            tokens.add(request.ask().token());
            most = Math.max(most, request.answers());
            switch (request.fate()) {
                case PLAYS -> plays.merge(request.ask().token(), 1, Integer::sum);
                case FAILED -> failed.add(request.ask().token());
                default -> {}
            }
            if (request.answers() == 0 && !request.owed()) {
                excused++;
            } else {
                least = Math.min(least, request.answers());
            }
        }
        Map<String, Integer> spends = new HashMap<>();
        Set<String> ran = new HashSet<>();
        for (Attempts.Attempt attempt : attempts.all()) {
            if (attempt.ran) {
                ran.add(attempt.setUp.token());
                if (attempt.setUp.spends()) {
                    spends.merge(attempt.setUp.token(), 1, Integer::sum);
                }
            }
        }
        long failedRan = failed.stream().filter(ran::contains).count();
        return new Tickets(
                requests,
                excused,
                tokens.size(),
                least == Long.MAX_VALUE ? 0 : least,
                most,
                spends.values().stream().mapToInt(i -> i).max().orElse(0),
                spends.size(),
                plays.values().stream().mapToLong(n -> n - 1).sum(),
                failed.size() - failedRan,
                failedRan);
    }
}
