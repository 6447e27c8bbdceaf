package spanrill.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Answers to requests and uses of tokens in a run, counted from the records of viewers and boxes alone.
 *
 * @param requests requests that viewers wrote
 * @param excused requests without an answer whose viewer left or whose front died or stalled meanwhile
 * @param tokens distinct tokens
 * @param minAnswers smallest number of answers to a request that is not excused
 * @param maxAnswers largest number of answers to a request
 * @param maxSpends largest number of times that boxes spent one paid token
 * @param spentTokens paid tokens that were spent
 * @param joined requests that joined the session of another request with the same token
 * @param failedWithoutRun requests answered with "failed" although no box ran an attempt for their token
 * @param failedAfterRun requests answered with "failed" whose token a box did run
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

    /** True when every request that is not excused had exactly one answer and no token was spent twice. */
    public boolean passed() {
        return requests > 0 && minAnswers == 1 && maxAnswers == 1 && maxSpends <= 1;
    }

    /** Counts answers and tokens in the records of a run. */
    public static TokenUsage of(List<TraceEvent> records) {
        List<TraceEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TraceEvent::t));
        AttemptIndex attempts = new AttemptIndex(events);
        Map<String, Integer> playsByToken = new HashMap<>();
        Set<String> tokens = new HashSet<>();
        List<String> failedTokens = new ArrayList<>();
        long requests = 0;
        long excused = 0;
        long fewestAnswers = Long.MAX_VALUE;
        long mostAnswers = 0;
        for (RequestOutcomes.RequestOutcome result : new RequestOutcomes(events, attempts).all()) {
            requests++;
            tokens.add(result.request().token());
            mostAnswers = Math.max(mostAnswers, result.answers());
            switch (result.outcome()) {
                case PLAYS -> playsByToken.merge(result.request().token(), 1, Integer::sum);
                case FAILED -> failedTokens.add(result.request().token());
                default -> {}
            }
            if (result.answers() == 0 && !result.answerRequired()) {
                excused++;
            } else {
                fewestAnswers = Math.min(fewestAnswers, result.answers());
            }
        }
        Map<String, Integer> spendsByToken = new HashMap<>();
        Set<String> tokensRun = new HashSet<>();
        for (AttemptIndex.Attempt attempt : attempts.all()) {
            if (attempt.ran) {
                tokensRun.add(attempt.setUp.token());
                if (attempt.setUp.spends()) {
                    spendsByToken.merge(attempt.setUp.token(), 1, Integer::sum);
                }
            }
        }
        long failedAfterRunCount =
                failedTokens.stream().filter(tokensRun::contains).count();
        return new TokenUsage(
                requests,
                excused,
                tokens.size(),
                fewestAnswers == Long.MAX_VALUE ? 0 : fewestAnswers,
                mostAnswers,
                spendsByToken.values().stream().mapToInt(i -> i).max().orElse(0),
                spendsByToken.size(),
                playsByToken.values().stream().mapToLong(n -> n - 1).sum(),
                failedTokens.size() - failedAfterRunCount,
                failedAfterRunCount);
    }
}
