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
 * @param minAnswers answers to a request that is not excused, at least
 * @param maxAnswers answers to any request, at most
 * @param maxSpends times that a box spent one paid token, at most
 * @param spentTokens paid tokens that were spent
 * @param joined requests that shared the session of another request of their token
 * @param failedWithoutRun requests answered "failed" though no box ran anything for their token
 * @param failedAfterRun requests answered "failed" whose token a box did run
 */
public record TokenUsage(
        long requests,
        long excused,
        long tokens,
        long minAnswers,
        long maxAnswers,
        long maxSpends,
        long spentTokens,
        long joined,
        long failedWithoutRun,
        long failedAfterRun) {

    /** True when every request had exactly one answer and no token was spent twice. */
    public boolean passed() {
        return requests > 0 && minAnswers == 1 && maxAnswers == 1 && maxSpends <= 1;
    }

    /** Counts. */
    public static TokenUsage of(List<TraceEvent> records) {
        List<TraceEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TraceEvent::t));
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
        return new TokenUsage(
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
