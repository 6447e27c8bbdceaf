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
public record Tickets(long requests, long excused, long tokens, long leastAnswers, long mostAnswers,
        long mostSpends,
        long spent, long joined, long failedUnknown, long failedRan) {

    /** True when every request had exactly one answer and no token was spent twice. */
    public boolean held() {
        return requests > 0 && leastAnswers == 1 && mostAnswers == 1 && mostSpends <= 1;
    }

    /** Counts. */
    public static Tickets of(List<TapEvent> records) {
        List<TapEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TapEvent::t));
        Attempts attempts = new Attempts(events);
        Map<Long, TapEvent.Ask> asks = new HashMap<>();
        Map<Long, Integer> answers = new HashMap<>();
        Set<Long> excused = new HashSet<>();
        Map<String, Integer> plays = new HashMap<>();
        Set<String> tokens = new HashSet<>();
        List<String> failed = new ArrayList<>();
        double end = events.isEmpty() ? 0 : events.get(events.size() - 1).t();
        for (TapEvent event : events) {
            if (event instanceof TapEvent.Ask ask) {
                asks.put(ask.ask(), ask);
                tokens.add(ask.token());
                double until = ask.t() + ask.patienceMs();
                // The front's kill is recorded a moment before its viewers see it.
                if (until > end || attempts.away(ask.front(), ask.t() - 1000, until) > 0) {
                    excused.add(ask.ask());
                }
            } else if (event instanceof TapEvent.AskLost lost && lost.viewerLeft()) {
                excused.add(lost.ask());
            } else if (event instanceof TapEvent.Answer answer && asks.containsKey(answer.ask())) {
                answers.merge(answer.ask(), 1, Integer::sum);
                String token = asks.get(answer.ask()).token();
                if (answer.answer().equals("plays")) {
                    plays.merge(token, 1, Integer::sum);
                } else if (answer.answer().equals("failed")) {
                    failed.add(token);
                }
            }
        }
        long least = Long.MAX_VALUE;
        long most = 0;
        for (long ask : asks.keySet()) {
            int count = answers.getOrDefault(ask, 0);
            most = Math.max(most, count);
            least = excused.contains(ask) ? least : Math.min(least, count);
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
        return new Tickets(asks.size(), excused.size(), tokens.size(), least == Long.MAX_VALUE ? 0 : least,
                most,
                spends.values().stream().mapToInt(i -> i).max().orElse(0), spends.size(),
                plays.values().stream().mapToLong(n -> n - 1).sum(), failed.size() - failedRan, failedRan);
    }
}
