package spanrill.check;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Rule 6: a front's attempts beyond each request's first stay within a stated few, plus a share of the
 * requests that it took, over any window; and where no budget is stated, within the attempts allowed. A
 * session that is moved counts as a request taken when it is asked for anew, as on the users' bench.
 */
final class BudgetRule implements Rule {
    /**
     * A front counts from when it took a request and decided on an attempt; the records have when the viewer
     * wrote the one and the box read the other. What lies between (ways, a signature, a connection of its
     * own) moves either over an edge of the window; in the front's favour it is taken to be this much.
     */
    private static final double READ_MS = 50;

    @Override
    public Verdict evaluate(TraceEvent.RunParameters facts, List<TraceEvent> events, Attempts attempts) {
        Verdict verdict = new Verdict(6, "further attempts within the budget");
        if (facts.attemptWindowMs() == null) {
            return verdict;
        }
        Map<Integer, ArrayDeque<Double>> taken = new HashMap<>();
        Map<Integer, ArrayDeque<Double>> further = new HashMap<>();
        Map<Long, String> tokens = new HashMap<>();
        Set<String> tried = new HashSet<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.Request ask) {
                tokens.put(ask.ask(), ask.token());
                taken.computeIfAbsent(ask.front(), k -> new ArrayDeque<>()).add(ask.t());
            } else if (event instanceof TraceEvent.Answer answer) {
                // After its answer the token's next attempt belongs to a new request.
                tried.remove(tokens.get(answer.ask()));
            } else if (event instanceof TraceEvent.FrontStarted up) {
                taken.remove(up.front());
                further.remove(up.front());
            } else if (event instanceof TraceEvent.SetUp setUp) {
                verdict.countCheck();
                // A moved session is asked for anew: its first set-up elsewhere is that of another request.
                boolean moved = setUp.continues() != null;
                if (tried.add(moved ? requestOf(setUp.key()) : setUp.token())) {
                    if (moved) {
                        taken.computeIfAbsent(setUp.front(), k -> new ArrayDeque<>())
                                .add(setUp.t());
                    }
                    continue;
                }
                ArrayDeque<Double> own = further.computeIfAbsent(setUp.front(), k -> new ArrayDeque<>());
                own.add(setUp.t());
                double from = setUp.t() - facts.attemptWindowMs();
                double asksFrom = from - READ_MS;
                double furtherFrom = from + READ_MS;
                ArrayDeque<Double> asked = taken.computeIfAbsent(setUp.front(), k -> new ArrayDeque<>());
                own.removeIf(t -> t <= furtherFrom);
                asked.removeIf(t -> t <= asksFrom);
                double budget = facts.spareAttempts() + facts.attemptShare() * asked.size();
                if (own.size() > budget) {
                    verdict.addViolation(
                            setUp.t(),
                            String.format(
                                    "front %d made %d further attempts, budget %.1f",
                                    setUp.front(), own.size(), budget));
                }
            }
        }
        return verdict;
    }

    /** A key is its request and the number of the attempt. */
    private static String requestOf(String key) {
        int dot = key.lastIndexOf('.');
        return dot < 0 ? key : key.substring(0, dot);
    }
}
