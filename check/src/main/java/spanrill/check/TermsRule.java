package spanrill.check;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spanrill.check.Attempts.Attempt;

/**
 * Rule 5: a cold box is not pushed over by all fronts together, floors and seats are kept. A box that has
 * just started takes places / coldMs set-ups, times a share that rises from coldShare to 1; the rule is
 * broken when more than fallMultiple times that come within fallMs, and most of them from fronts that were
 * told of the start, had lost sessions there, or started later.
 */
final class TermsRule implements Rule {
    /** Arrivals are chance: a window may hold so many more. */
    private static final double SLACK = 2;

    @Override
    public Verdict evaluate(TraceEvent.RunParameters facts, List<TraceEvent> events, Attempts attempts) {
        Verdict verdict = new Verdict(5, "cold boxes, floors and seats are kept");
        floors(verdict, facts, events, attempts);
        seats(verdict, facts, attempts);
        cold(verdict, facts, events);
        return verdict;
    }

    private static void floors(
            Verdict verdict, TraceEvent.RunParameters facts, List<TraceEvent> events, Attempts attempts) {
        Map<String, String> classes = new HashMap<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.Request ask) {
                classes.put(ask.token(), ask.cls());
            } else if (event instanceof TraceEvent.SetUp setUp) {
                floor(verdict, facts, setUp.t(), setUp.cls(), setUp.rung(), "set-up " + setUp.key());
            } else if (event instanceof TraceEvent.RungChanged rung && attempts.byKey(rung.key()) != null) {
                floor(
                        verdict,
                        facts,
                        rung.t(),
                        attempts.byKey(rung.key()).setUp.cls(),
                        rung.rung(),
                        "attempt " + rung.key());
            } else if (event instanceof TraceEvent.SegmentReceived segment
                    && segment.rung() >= 0
                    && classes.containsKey(segment.token())) {
                floor(
                        verdict,
                        facts,
                        segment.t(),
                        classes.get(segment.token()),
                        segment.rung(),
                        "a segment of " + segment.token());
            }
        }
    }

    private static void floor(
            Verdict verdict, TraceEvent.RunParameters facts, double t, String cls, int rung, String what) {
        verdict.countCheck();
        if (rung < facts.classes().get(cls).floor()) {
            verdict.addViolation(t, what + " of " + cls + " is at rung " + rung + ", below the floor");
        }
    }

    private static void seats(Verdict verdict, TraceEvent.RunParameters facts, Attempts attempts) {
        Map<String, List<Attempt>> held = new HashMap<>();
        for (Attempt attempt : attempts.all()) {
            TraceEvent.SetUp s = attempt.setUp;
            int seats = facts.classes().get(s.cls()).seats();
            if (seats == 0) {
                continue;
            }
            List<Attempt> others =
                    held.computeIfAbsent(s.front() + " " + s.cls() + " " + s.title(), k -> new ArrayList<>());
            others.removeIf(o -> o.endedAt <= s.t()
                    || o.setUp.token().equals(s.token())
                    || attempts.away(s.front(), o.setUp.t(), s.t()) > 0);
            others.add(attempt);
            verdict.countCheck();
            if (others.size() > seats) {
                verdict.addViolation(
                        s.t(),
                        "front " + s.front() + " holds " + others.size() + " sessions of "
                                + s.title()
                                + " and " + s.cls() + ", seats " + seats);
            }
        }
    }

    private static void cold(Verdict verdict, TraceEvent.RunParameters facts, List<TraceEvent> events) {
        Map<String, Double> started = new HashMap<>();
        Map<String, ArrayDeque<TraceEvent.SetUp>> window = new HashMap<>();
        Map<String, Set<Integer>> knowing = new HashMap<>();
        Map<String, Set<Integer>> users = new HashMap<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.BoxStarted start) {
                if (start.cold()) {
                    started.put(start.box(), start.t());
                    window.put(start.box(), new ArrayDeque<>());
                    // Who had sessions there saw it fail.
                    knowing.put(start.box(), new HashSet<>(users.getOrDefault(start.box(), Set.of())));
                }
                users.remove(start.box());
            } else if (event instanceof TraceEvent.BoxStateSent told
                    && knowing.containsKey(told.box())
                    && told.startedAt() > 0) {
                knowing.get(told.box()).add(told.front());
            } else if (event instanceof TraceEvent.FrontStarted up) {
                knowing.values().forEach(set -> set.add(up.front()));
            } else if (event instanceof TraceEvent.SetUp setUp) {
                users.computeIfAbsent(setUp.box(), k -> new HashSet<>()).add(setUp.front());
                Double began = started.get(setUp.box());
                if (began != null && setUp.t() - began < facts.coldMs()) {
                    cold(verdict, facts, setUp, began, window.get(setUp.box()), knowing.get(setUp.box()));
                }
            }
        }
    }

    private static void cold(
            Verdict verdict,
            TraceEvent.RunParameters facts,
            TraceEvent.SetUp setUp,
            double began,
            ArrayDeque<TraceEvent.SetUp> window,
            Set<Integer> knowing) {
        verdict.countCheck();
        window.add(setUp);
        while (window.peek().t() <= setUp.t() - facts.fallMs()) {
            window.poll();
        }
        double share = facts.coldShare() + (1 - facts.coldShare()) * (setUp.t() - began) / facts.coldMs();
        double budget = facts.fallMultiple() * facts.places() / facts.coldMs() * share * facts.fallMs() + SLACK;
        long known = window.stream().filter(s -> knowing.contains(s.front())).count();
        if (window.size() > budget && known * 2 > window.size()) {
            verdict.addViolation(
                    setUp.t(),
                    String.format(
                            "cold %s got %d set-ups in %.0f ms, budget %.1f",
                            setUp.box(), window.size(), facts.fallMs(), budget));
        }
    }
}
