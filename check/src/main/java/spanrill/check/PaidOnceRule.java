package spanrill.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.check.AttemptIndex.Attempt;

/**
 * Rule 2: a paid session is set up once. A front sends a further set-up, or refuses the request, only when it is proven
 * that no earlier attempt ran. A set-up that continues an established session (a move) spends no token and is allowed;
 * a set-up that claims to continue a session that never ran is a violation.
 */
final class PaidOnceRule implements Rule {
    @Override
    public Verdict evaluate(TraceEvent.RunParameters parameters, List<TraceEvent> events, AttemptIndex attempts) {
        Verdict verdict = new Verdict(2, "a paid session is set up once");
        Map<Long, TraceEvent.Request> requests = new HashMap<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.Request request) {
                requests.put(request.ask(), request);
            } else if (event instanceof TraceEvent.Answer answer
                    && answer.answer().equals("refused")
                    && requests.containsKey(answer.ask())) {
                TraceEvent.Request request = requests.get(answer.ask());
                if (!parameters.classes().get(request.cls()).once()) {
                    continue;
                }
                for (Attempt attempt : attempts.byToken().getOrDefault(request.token(), List.of())) {
                    if (attempt.setUp.t() < answer.t() && !attempt.isProvenNotRun(answer.t())) {
                        verdict.addViolation(
                                answer.t(),
                                "token " + request.token() + " was refused though attempt " + attempt.setUp.key()
                                        + " may have run");
                    }
                }
            }
        }
        attempts.byToken().forEach((token, list) -> {
            if (parameters.classes().get(list.get(0).setUp.cls()).once()) {
                verdict.countCheck();
                checkToken(verdict, token, list, attempts);
            }
        });
        return verdict;
    }

    private static void checkToken(Verdict verdict, String token, List<Attempt> list, AttemptIndex attempts) {
        for (Attempt attempt : list) {
            TraceEvent.SetUp setUp = attempt.setUp;
            if (setUp.continues() != null) {
                Attempt previous = attempts.byKey(setUp.continues());
                if (previous == null || !previous.ran || !previous.setUp.token().equals(token) || setUp.spends()) {
                    verdict.addViolation(
                            setUp.t(),
                            "token " + token + " continues an attempt that did not run for it, or is spent again");
                }
                continue;
            }
            Attempt unproven = null;
            for (Attempt earlier : list) {
                boolean maySpend = earlier.setUp.continues() == null && earlier.setUp.t() < setUp.t();
                unproven = maySpend && !earlier.isProvenNotRun(setUp.t()) ? earlier : unproven;
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
