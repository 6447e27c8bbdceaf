package spanrill.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.check.Attempts.Attempt;

/**
 * Rule 2: a paid session is set up once. It is sent again, or refused, only when every attempt before was
 * turned away unseen. A set-up that goes on with one that played (a move) spends nothing and is allowed; one
 * that claims so without such a one is not.
 */
final class OnceRule implements Rule {
    @Override
    public Verdict evaluate(TraceEvent.RunParameters facts, List<TraceEvent> events, Attempts attempts) {
        Verdict verdict = new Verdict(2, "a paid session is set up once");
        Map<Long, TraceEvent.Request> asks = new HashMap<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.Request ask) {
                asks.put(ask.ask(), ask);
            } else if (event instanceof TraceEvent.Answer answer
                    && answer.answer().equals("refused")
                    && asks.containsKey(answer.ask())) {
                TraceEvent.Request ask = asks.get(answer.ask());
                if (!facts.classes().get(ask.cls()).once()) {
                    continue;
                }
                for (Attempt attempt : attempts.byToken().getOrDefault(ask.token(), List.of())) {
                    if (attempt.setUp.t() < answer.t() && !attempt.proven(answer.t())) {
                        verdict.addViolation(
                                answer.t(),
                                "token " + ask.token() + " was refused though attempt " + attempt.setUp.key()
                                        + " may have run");
                    }
                }
            }
        }
        attempts.byToken().forEach((token, list) -> {
            if (facts.classes().get(list.get(0).setUp.cls()).once()) {
                verdict.countCheck();
                evaluate(verdict, token, list, attempts);
            }
        });
        return verdict;
    }

    private static void evaluate(Verdict verdict, String token, List<Attempt> list, Attempts attempts) {
        for (Attempt attempt : list) {
            TraceEvent.SetUp setUp = attempt.setUp;
            if (setUp.continues() != null) {
                Attempt before = attempts.byKey(setUp.continues());
                if (before == null || !before.ran || !before.setUp.token().equals(token) || setUp.spends()) {
                    verdict.addViolation(setUp.t(), "token " + token + " goes on with an attempt that never ran");
                }
                continue;
            }
            Attempt unproven = null;
            for (Attempt before : list) {
                boolean spent = before.setUp.continues() == null && before.setUp.t() < setUp.t();
                unproven = spent && !before.proven(setUp.t()) ? before : unproven;
            }
            if (unproven != null) {
                verdict.addViolation(
                        setUp.t(),
                        "token " + token + " was set up again though attempt " + unproven.setUp.key()
                                + " may have run");
            }
            if (!setUp.spends()) {
                verdict.addViolation(setUp.t(), "token " + token + " of a paid class was set up without spending");
            }
        }
    }
}
