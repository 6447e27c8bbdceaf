package spanrill.check;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Rule 1: a request that a running front took gets exactly one answer before the viewer's time is up. A front
 * that stood still has that much more time, and one that died owes nothing.
 */
final class AnswersRule implements Rule {
    /** A request younger than its patience when the records end is not judged. */
    @Override
    public Verdict judge(TapEvent.Facts facts, List<TapEvent> events, Attempts attempts) {
        Verdict verdict = new Verdict(1, "exactly one answer in time");
        Map<Long, TapEvent.Ask> open = new LinkedHashMap<>();
        Map<Long, TapEvent.Answer> answered = new HashMap<>();
        double end = events.get(events.size() - 1).t();
        for (TapEvent event : events) {
            if (event instanceof TapEvent.Ask ask) {
                open.put(ask.ask(), ask);
                verdict.judged();
            } else if (event instanceof TapEvent.Answer answer) {
                if (answered.put(answer.ask(), answer) != null) {
                    verdict.broken(answer.t(), "ask " + answer.ask() + " was answered twice: now "
                            + answer.answer());
                    continue;
                }
                TapEvent.Ask ask = open.remove(answer.ask());
                if (ask != null) {
                    double late = answer.t() - ask.t() - ask.patienceMs();
                    if (late > attempts.away(ask.front(), ask.t(), answer.t())) {
                        verdict.broken(answer.t(), String.format("ask %d was answered %.0f ms late",
                                ask.ask(),
                                late));
                    }
                }
            } else if (event instanceof TapEvent.AskLost lost) {
                TapEvent.Ask ask = open.remove(lost.ask());
                if (ask != null && !lost.viewerLeft()
                        && attempts.away(ask.front(), ask.t() - 1000, lost.t() + 50) == 0) {
                    verdict.broken(lost.t(), "ask " + lost.ask() + " lost its connection at running front "
                            + ask.front());
                }
            }
        }
        for (TapEvent.Ask ask : open.values()) {
            double due = ask.t() + ask.patienceMs();
            if (due < end && attempts.away(ask.front(), ask.t(), due) == 0) {
                verdict.broken(due, "ask " + ask.ask() + " of " + ask.cls() + " got no answer from front "
                        + ask.front());
            }
        }
        return verdict;
    }
}
