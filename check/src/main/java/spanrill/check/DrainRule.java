package spanrill.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Rule 4: nothing new to a box later than the grace after this front was told that it drains or is gone. */
final class DrainRule implements Rule {
    @Override
    public Verdict evaluate(TraceEvent.RunParameters facts, List<TraceEvent> events, Attempts attempts) {
        Verdict verdict = new Verdict(4, "nothing new after a drain was heard");
        Map<String, Double> leaving = new HashMap<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.BoxStateSent told) {
                String at = told.front() + " " + told.box();
                if (told.state().equals("ready")) {
                    leaving.remove(at);
                } else {
                    leaving.putIfAbsent(at, told.t());
                }
            } else if (event instanceof TraceEvent.FrontStarted up) {
                // A new process heard nothing yet, though its list may be told again at once.
                leaving.keySet().removeIf(at -> at.startsWith(up.front() + " "));
            } else if (event instanceof TraceEvent.SetUp setUp) {
                verdict.countCheck();
                Double told = leaving.get(setUp.front() + " " + setUp.box());
                // What waited unread at a silent box was written before it is read.
                if (told != null
                        && setUp.t()
                                        - told
                                        - attempts.away(setUp.front(), told, setUp.t())
                                        - attempts.muteMs(setUp.box(), told, setUp.t())
                                > facts.drainGraceMs()) {
                    verdict.addViolation(
                            setUp.t(),
                            String.format(
                                    "front %d set up at %s %.0f ms after it was told",
                                    setUp.front(), setUp.box(), setUp.t() - told));
                }
            }
        }
        return verdict;
    }
}
