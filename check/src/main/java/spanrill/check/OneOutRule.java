package spanrill.check;

import java.util.List;
import spanrill.check.Attempts.Attempt;

/**
 * Rule 3: never two attempts of a session out at once. The end of an attempt crosses another socket than the
 * next set-up, so it may be seen a little later; at a box that is mute it is never seen, and not judged.
 */
final class OneOutRule implements Rule {
    private static final double CROSSING_MS = 150;

    @Override
    public Verdict evaluate(TraceEvent.RunParameters facts, List<TraceEvent> events, Attempts attempts) {
        Verdict verdict = new Verdict(3, "one attempt out at a time");
        for (List<Attempt> list : attempts.byToken().values()) {
            for (int i = 1; i < list.size(); i++) {
                TraceEvent.SetUp next = list.get(i).setUp;
                verdict.countCheck();
                for (Attempt before : list.subList(0, i)) {
                    double limit =
                            next.t() + CROSSING_MS + attempts.away(next.front(), before.setUp.t(), next.t() + 50);
                    if (before.endedAt > limit
                            && before.setUp.front() == next.front()
                            && !attempts.mute(before.setUp.box(), before.setUp.t(), limit)) {
                        verdict.addViolation(
                                next.t(),
                                "token " + next.token() + " is sent to " + next.box()
                                        + " while attempt " + before.setUp.key() + " is out at "
                                        + before.setUp.box());
                    }
                }
            }
        }
        return verdict;
    }
}
