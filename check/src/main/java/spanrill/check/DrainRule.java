package spanrill.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rule 4: a front sends no set-up to a box later than the grace period after the registry notified this front that the
 * box drains or is gone.
 */
final class DrainRule implements Rule {
    @Override
    public Verdict evaluate(TraceEvent.RunParameters parameters, List<TraceEvent> events, AttemptIndex attempts) {
        Verdict verdict = new Verdict(4, "nothing new after a drain was heard");
        Map<String, Double> notifiedAtMs = new HashMap<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.BoxStateSent sent) {
                String frontAndBox = sent.front() + " " + sent.box();
                if (sent.state().equals("ready")) {
                    notifiedAtMs.remove(frontAndBox);
                } else {
                    notifiedAtMs.putIfAbsent(frontAndBox, sent.t());
                }
            } else if (event instanceof TraceEvent.FrontStarted started) {
                // A new process has not been notified of anything yet, even if the registry sends its list at once.
                notifiedAtMs.keySet().removeIf(frontAndBox -> frontAndBox.startsWith(started.front() + " "));
            } else if (event instanceof TraceEvent.SetUp setUp) {
                verdict.countCheck();
                Double notified = notifiedAtMs.get(setUp.front() + " " + setUp.box());
                // A set-up may wait unread at a mute box: the front sent it before the box records it.
                if (notified != null
                        && setUp.t()
                                        - notified
                                        - attempts.frontNotRunningMs(setUp.front(), notified, setUp.t())
                                        - attempts.boxMuteMs(setUp.box(), notified, setUp.t())
                                > parameters.drainGraceMs()) {
                    verdict.addViolation(
                            setUp.t(),
                            String.format(
                                    "front %d set up at %s %.0f ms after being notified that the box drains or is gone",
                                    setUp.front(), setUp.box(), setUp.t() - notified));
                }
            }
        }
        return verdict;
    }
}
