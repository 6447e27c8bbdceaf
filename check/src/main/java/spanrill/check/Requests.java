package spanrill.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What became of each request, from the records of its viewer and of its front's process alone. The one judge
 * of it: rule 1, the tally, the tickets and the report all take its word.
 *
 * <p>A front owes an answer while it runs. One that stood still for a time owes it by so much later, to a
 * viewer that still waits by then; one that died owes nothing for what it had taken.
 */
final class Requests {
    /** A kill is recorded a moment before viewers see it, and they see it a moment after. */
    private static final double KILL_SEEN_MS = 1000;

    private static final double LOSS_SEEN_MS = 50;

    /** What became of a request; each has one. */
    enum Fate {
        PLAYS,
        REFUSED,
        FAILED,
        NOT_TAKEN,
        LEFT,
        LOST_WITH_FRONT,
        UNANSWERED
    }

    /**
     * A request that was judged.
     *
     * @param fate what became of it
     * @param owed for one without an answer: true when a running front owed it
     * @param answers heads of answers that its viewer read
     * @param faults what broke rule 1, each with its time
     */
    record Judged(TraceEvent.Request ask, Fate fate, boolean owed, int answers, List<Fault> faults) {}

    /** What broke rule 1. */
    record Fault(double t, String text) {}

    private static final class Open {
        private final TraceEvent.Request ask;
        private final List<TraceEvent.Answer> answers = new ArrayList<>(1);
        private TraceEvent.RequestAborted lost;
        private TraceEvent.RequestTimedOut none;

        Open(TraceEvent.Request ask) {
            this.ask = ask;
        }
    }

    private final Attempts attempts;
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private final List<Judged> judged = new ArrayList<>();
    private final double end;

    /** Judges; events are in order of time. */
    Requests(List<TraceEvent> events, Attempts attempts) {
        this.attempts = attempts;
        end = events.isEmpty() ? 0 : events.get(events.size() - 1).t();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.Request ask) {
                open.putIfAbsent(ask.ask(), new Open(ask));
            } else if (event instanceof TraceEvent.Answer answer && open.containsKey(answer.ask())) {
                open.get(answer.ask()).answers.add(answer);
            } else if (event instanceof TraceEvent.RequestAborted lost && open.containsKey(lost.ask())) {
                open.get(lost.ask()).lost = lost;
            } else if (event instanceof TraceEvent.RequestTimedOut none && open.containsKey(none.ask())) {
                open.get(none.ask()).none = none;
            }
        }
        open.values().forEach(each -> judged.add(judge(each)));
    }

    /** All requests, in the order in which they were written. */
    Collection<Judged> all() {
        return judged;
    }

    private Judged judge(Open request) {
        List<Fault> faults = new ArrayList<>(0);
        TraceEvent.Request ask = request.ask;
        for (TraceEvent.Answer more :
                request.answers.subList(Math.min(1, request.answers.size()), request.answers.size())) {
            faults.add(new Fault(more.t(), "ask " + ask.ask() + " was answered twice: now " + more.answer()));
        }
        boolean owed = false;
        Fate fate;
        if (!request.answers.isEmpty()) {
            TraceEvent.Answer first = request.answers.get(0);
            fate = of(first.answer());
            double late = first.t() - ask.t() - ask.patienceMs();
            if (late > attempts.away(ask.front(), ask.t(), first.t())) {
                faults.add(new Fault(
                        first.t(), String.format(Locale.ROOT, "ask %d was answered %.0f ms late", ask.ask(), late)));
            }
        } else if (request.lost != null && request.lost.viewerLeft()) {
            fate = Fate.LEFT;
        } else if (request.lost != null) {
            double lostAt = request.lost.t();
            double from = ask.t() - KILL_SEEN_MS;
            boolean dead = attempts.dead(ask.front(), from, lostAt + LOSS_SEEN_MS);
            fate = dead ? Fate.LOST_WITH_FRONT : Fate.UNANSWERED;
            owed = !dead && attempts.away(ask.front(), from, lostAt + LOSS_SEEN_MS) == 0;
            if (owed) {
                faults.add(
                        new Fault(lostAt, "ask " + ask.ask() + " lost its connection at running front " + ask.front()));
            }
        } else {
            double until = request.none == null ? end : request.none.t();
            boolean dead = attempts.dead(ask.front(), ask.t(), until);
            fate = dead ? Fate.LOST_WITH_FRONT : Fate.UNANSWERED;
            double due = ask.t() + ask.patienceMs() + attempts.away(ask.front(), ask.t(), until);
            owed = !dead && due < until;
            if (owed) {
                faults.add(new Fault(
                        due, "ask " + ask.ask() + " of " + ask.cls() + " got no answer from front " + ask.front()));
            }
        }
        return new Judged(ask, fate, owed, request.answers.size(), faults);
    }

    private static Fate of(String answer) {
        return switch (answer) {
            case "plays" -> Fate.PLAYS;
            case "refused" -> Fate.REFUSED;
            case "failed" -> Fate.FAILED;
            default -> Fate.NOT_TAKEN;
        };
    }
}
