package spanrill.check;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spanrill.check.AttemptIndex.Attempt;

/**
 * Rule 5: the fronts together do not overload a cold box, and the floors and seats of the classes are kept. A box that
 * has just started can take places / coldMs set-ups per ms, times a share that rises from coldShare to 1. The rule is
 * broken when more than fallMultiple times this number arrive within fallMs, and most of them come from fronts that
 * were notified of the start, had sessions on the box before it failed, or started after the box.
 */
final class PlacementLimitsRule implements Rule {
    /** Arrivals are random, so a window may hold this many set-ups more than the budget. */
    private static final double SLACK_SET_UPS = 2;

    @Override
    public Verdict evaluate(TraceEvent.RunParameters parameters, List<TraceEvent> events, AttemptIndex attempts) {
        Verdict verdict = new Verdict(5, "cold boxes, floors and seats are kept");
        checkFloors(verdict, parameters, events, attempts);
        checkSessionsPerTitle(verdict, parameters, attempts);
        checkColdStarts(verdict, parameters, events);
        return verdict;
    }

    private static void checkFloors(
            Verdict verdict, TraceEvent.RunParameters parameters, List<TraceEvent> events, AttemptIndex attempts) {
        Map<String, String> classByToken = new HashMap<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.Request request) {
                classByToken.put(request.token(), request.cls());
            } else if (event instanceof TraceEvent.SetUp setUp) {
                checkFloor(verdict, parameters, setUp.t(), setUp.cls(), setUp.rung(), "set-up " + setUp.key());
            } else if (event instanceof TraceEvent.RungChanged rung && attempts.byKey(rung.key()) != null) {
                checkFloor(
                        verdict,
                        parameters,
                        rung.t(),
                        attempts.byKey(rung.key()).setUp.cls(),
                        rung.rung(),
                        "attempt " + rung.key());
            } else if (event instanceof TraceEvent.SegmentReceived segment
                    && segment.rung() >= 0
                    && classByToken.containsKey(segment.token())) {
                checkFloor(
                        verdict,
                        parameters,
                        segment.t(),
                        classByToken.get(segment.token()),
                        segment.rung(),
                        "a segment of " + segment.token());
            }
        }
    }

    private static void checkFloor(
            Verdict verdict,
            TraceEvent.RunParameters parameters,
            double timeMs,
            String serviceClass,
            int rung,
            String subject) {
        verdict.countCheck();
        if (rung < parameters.classes().get(serviceClass).floor()) {
            verdict.addViolation(
                    timeMs, subject + " of class " + serviceClass + " is at rung " + rung + ", below the floor");
        }
    }

    /** Checks that no front holds more sessions of one title and class than the class has seats (0: no limit). */
    private static void checkSessionsPerTitle(
            Verdict verdict, TraceEvent.RunParameters parameters, AttemptIndex attempts) {
        Map<String, List<Attempt>> activeByKey = new HashMap<>();
        for (Attempt attempt : attempts.all()) {
            TraceEvent.SetUp setUp = attempt.setUp;
            int seats = parameters.classes().get(setUp.cls()).seats();
            if (seats == 0) {
                continue;
            }
            List<Attempt> active = activeByKey.computeIfAbsent(
                    setUp.front() + " " + setUp.cls() + " " + setUp.title(), k -> new ArrayList<>());
            active.removeIf(other -> other.endedAtMs <= setUp.t()
                    || other.setUp.token().equals(setUp.token())
                    || attempts.frontNotRunningMs(setUp.front(), other.setUp.t(), setUp.t()) > 0);
            active.add(attempt);
            verdict.countCheck();
            if (active.size() > seats) {
                verdict.addViolation(
                        setUp.t(),
                        "front " + setUp.front() + " holds " + active.size() + " sessions of title "
                                + setUp.title()
                                + " and class " + setUp.cls() + ", seats " + seats);
            }
        }
    }

    private static void checkColdStarts(Verdict verdict, TraceEvent.RunParameters parameters, List<TraceEvent> events) {
        Map<String, Double> startedAtMs = new HashMap<>();
        Map<String, ArrayDeque<TraceEvent.SetUp>> windows = new HashMap<>();
        Map<String, Set<Integer>> informedFronts = new HashMap<>();
        Map<String, Set<Integer>> frontsByBox = new HashMap<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.BoxStarted start) {
                if (start.cold()) {
                    startedAtMs.put(start.box(), start.t());
                    windows.put(start.box(), new ArrayDeque<>());
                    // Fronts with sessions on the box observed its failure.
                    informedFronts.put(start.box(), new HashSet<>(frontsByBox.getOrDefault(start.box(), Set.of())));
                }
                frontsByBox.remove(start.box());
            } else if (event instanceof TraceEvent.BoxStateSent sent
                    && informedFronts.containsKey(sent.box())
                    && sent.startedAt() > 0) {
                informedFronts.get(sent.box()).add(sent.front());
            } else if (event instanceof TraceEvent.FrontStarted started) {
                informedFronts.values().forEach(set -> set.add(started.front()));
            } else if (event instanceof TraceEvent.SetUp setUp) {
                frontsByBox.computeIfAbsent(setUp.box(), k -> new HashSet<>()).add(setUp.front());
                Double boxStartedAtMs = startedAtMs.get(setUp.box());
                if (boxStartedAtMs != null && setUp.t() - boxStartedAtMs < parameters.coldMs()) {
                    checkColdSetUp(
                            verdict,
                            parameters,
                            setUp,
                            boxStartedAtMs,
                            windows.get(setUp.box()),
                            informedFronts.get(setUp.box()));
                }
            }
        }
    }

    private static void checkColdSetUp(
            Verdict verdict,
            TraceEvent.RunParameters parameters,
            TraceEvent.SetUp setUp,
            double boxStartedAtMs,
            ArrayDeque<TraceEvent.SetUp> window,
            Set<Integer> informedFronts) {
        verdict.countCheck();
        window.add(setUp);
        while (window.peek().t() <= setUp.t() - parameters.fallMs()) {
            window.poll();
        }
        double share = parameters.coldShare()
                + (1 - parameters.coldShare()) * (setUp.t() - boxStartedAtMs) / parameters.coldMs();
        double budget =
                parameters.fallMultiple() * parameters.places() / parameters.coldMs() * share * parameters.fallMs()
                        + SLACK_SET_UPS;
        long informed = window.stream()
                .filter(earlier -> informedFronts.contains(earlier.front()))
                .count();
        if (window.size() > budget && informed * 2 > window.size()) {
            verdict.addViolation(
                    setUp.t(),
                    String.format(
                            "cold box %s received %d set-ups within %.0f ms, budget %.1f",
                            setUp.box(), window.size(), parameters.fallMs(), budget));
        }
    }
}
