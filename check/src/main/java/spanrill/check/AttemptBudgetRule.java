package spanrill.check;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Rule 6: in any window, a front makes at most a stated number of attempts beyond the first of each request, plus a
 * share of the requests that it accepted. Without a stated budget the rule checks nothing, and only the maximum number
 * of attempts for each request applies. A move of a session counts as an accepted request when its first set-up is
 * sent, as in the users' benchmark.
 */
final class AttemptBudgetRule implements Rule {
    /**
     * A front counts a request when it accepts it and an attempt when it decides on it; the records have the time at
     * which the viewer wrote the request and the box read the set-up. The delay between (network, signature check, a
     * new connection) can move either across an edge of the window. It is assumed to be this long, in favour of the
     * front.
     */
    private static final double RECORD_DELAY_MS = 50;

    @Override
    public Verdict evaluate(TraceEvent.RunParameters parameters, List<TraceEvent> events, AttemptIndex attempts) {
        Verdict verdict = new Verdict(6, "further attempts within the budget");
        if (parameters.attemptWindowMs() == null) {
            return verdict;
        }
        Map<Integer, ArrayDeque<Double>> requestTimes = new HashMap<>();
        Map<Integer, ArrayDeque<Double>> furtherAttemptTimes = new HashMap<>();
        Map<Long, String> tokens = new HashMap<>();
        Set<String> attempted = new HashSet<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.Request request) {
                tokens.put(request.ask(), request.token());
                requestTimes
                        .computeIfAbsent(request.front(), k -> new ArrayDeque<>())
                        .add(request.t());
            } else if (event instanceof TraceEvent.Answer answer) {
                // The next attempt for the token after its answer belongs to a new request.
                attempted.remove(tokens.get(answer.ask()));
            } else if (event instanceof TraceEvent.FrontStarted started) {
                requestTimes.remove(started.front());
                furtherAttemptTimes.remove(started.front());
            } else if (event instanceof TraceEvent.SetUp setUp) {
                verdict.countCheck();
                // A move is a new request: the first set-up of the moved session is not a further attempt.
                boolean moved = setUp.continues() != null;
                if (attempted.add(moved ? requestOf(setUp.key()) : setUp.token())) {
                    if (moved) {
                        requestTimes
                                .computeIfAbsent(setUp.front(), k -> new ArrayDeque<>())
                                .add(setUp.t());
                    }
                    continue;
                }
                ArrayDeque<Double> furtherOfFront =
                        furtherAttemptTimes.computeIfAbsent(setUp.front(), k -> new ArrayDeque<>());
                furtherOfFront.add(setUp.t());
                double windowStart = setUp.t() - parameters.attemptWindowMs();
                double requestsFrom = windowStart - RECORD_DELAY_MS;
                double furtherFrom = windowStart + RECORD_DELAY_MS;
                ArrayDeque<Double> requestsOfFront =
                        requestTimes.computeIfAbsent(setUp.front(), k -> new ArrayDeque<>());
                furtherOfFront.removeIf(timeMs -> timeMs <= furtherFrom);
                requestsOfFront.removeIf(timeMs -> timeMs <= requestsFrom);
                double budget = parameters.spareAttempts() + parameters.attemptShare() * requestsOfFront.size();
                if (furtherOfFront.size() > budget) {
                    verdict.addViolation(
                            setUp.t(),
                            String.format(
                                    "front %d made %d further attempts within the window, budget %.1f",
                                    setUp.front(), furtherOfFront.size(), budget));
                }
            }
        }
        return verdict;
    }

    /** Returns the request's part of an attempt key, which is the request, a dot and the number of the attempt. */
    private static String requestOf(String key) {
        int dot = key.lastIndexOf('.');
        return dot < 0 ? key : key.substring(0, dot);
    }
}
