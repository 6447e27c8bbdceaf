package spanrill.check;

import java.util.List;
import spanrill.check.AttemptIndex.Attempt;

/**
 * Rule 3: a front never has two active attempts of one session. The end of an attempt and the next set-up arrive on
 * different sockets, so the end may be recorded a little later. A mute box never records the end, so its attempts are
 * not checked.
 */
final class OneActiveAttemptRule implements Rule {
    /** Maximum delay of the record of an attempt's end after the record of the next set-up. */
    private static final double END_RECORD_DELAY_MS = 150;

    @Override
    public Verdict evaluate(TraceEvent.RunParameters parameters, List<TraceEvent> events, AttemptIndex attempts) {
        Verdict verdict = new Verdict(3, "one attempt out at a time");
        for (List<Attempt> list : attempts.byToken().values()) {
            for (int i = 1; i < list.size(); i++) {
                TraceEvent.SetUp next = list.get(i).setUp;
                verdict.countCheck();
                for (Attempt earlier : list.subList(0, i)) {
                    double limit = next.t()
                            + END_RECORD_DELAY_MS
                            + attempts.frontNotRunningMs(next.front(), earlier.setUp.t(), next.t() + 50);
                    if (earlier.endedAtMs > limit
                            && earlier.setUp.front() == next.front()
                            && !attempts.wasBoxMute(earlier.setUp.box(), earlier.setUp.t(), limit)) {
                        verdict.addViolation(
                                next.t(),
                                "token " + next.token() + " is sent to " + next.box()
                                        + " while attempt " + earlier.setUp.key() + " is active at "
                                        + earlier.setUp.box());
                    }
                }
            }
        }
        return verdict;
    }
}
