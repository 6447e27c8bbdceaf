package spanrill.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Index of all attempts of a run by key and token, with the periods in which boxes and fronts were unavailable. The
 * rules query the index. Times are in ms of the records' clock.
 */
final class AttemptIndex {
    /** One set-up as its box recorded it. Times that are not recorded are infinite. */
    static final class Attempt {
        final TraceEvent.SetUp setUp;
        double endedAtMs = Double.POSITIVE_INFINITY;
        /** Time from which it is proven that the attempt did not run and never will. */
        double provenNotRunAtMs = Double.POSITIVE_INFINITY;

        boolean ran;
        double answeredAtMs = Double.POSITIVE_INFINITY;

        Attempt(TraceEvent.SetUp setUp) {
            this.setUp = setUp;
        }

        /** True when it was proven by the given time that the attempt never ran. */
        boolean isProvenNotRun(double timeMs) {
            return provenNotRunAtMs <= timeMs;
        }

        void recordEnd(double timeMs) {
            endedAtMs = Math.min(endedAtMs, timeMs);
        }
    }

    private final Map<String, Attempt> byKey = new LinkedHashMap<>();
    private final Map<String, List<Attempt>> byToken = new LinkedHashMap<>();
    private final Map<String, List<double[]>> boxMutePeriods = new HashMap<>();
    private final Map<String, List<double[]>> hallCutPeriods = new HashMap<>();
    private final Map<String, List<Double>> boxStopTimes = new HashMap<>();
    private final Map<Integer, List<double[]>> frontNotRunningPeriods = new HashMap<>();
    private final Map<Integer, List<double[]>> frontDownPeriods = new HashMap<>();

    AttemptIndex(List<TraceEvent> events) {
        Map<String, List<Attempt>> openByBox = new HashMap<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.SetUp setUp) {
                Attempt attempt = new Attempt(setUp);
                byKey.put(setUp.key(), attempt);
                byToken.computeIfAbsent(setUp.token(), k -> new ArrayList<>()).add(attempt);
                openByBox.computeIfAbsent(setUp.box(), k -> new ArrayList<>()).add(attempt);
            } else if (event instanceof TraceEvent.SetUpAnswer answer && byKey.containsKey(answer.key())) {
                Attempt attempt = byKey.get(answer.key());
                attempt.answeredAtMs = answer.t();
                if (answer.status() == 503 && answer.reason() != null) {
                    attempt.provenNotRunAtMs = answer.t();
                }
                if (answer.status() != 200) {
                    attempt.recordEnd(answer.t());
                }
            } else if (event instanceof TraceEvent.CancelAnswer answer && byKey.containsKey(answer.key())) {
                Attempt attempt = byKey.get(answer.key());
                // An answer that the attempt did not run is a proof only while no record shows that it ran.
                if (!answer.ran() && !attempt.ran) {
                    attempt.provenNotRunAtMs = Math.min(attempt.provenNotRunAtMs, answer.t());
                }
                attempt.recordEnd(answer.t());
            } else if (event instanceof TraceEvent.AttemptStarted started && byKey.containsKey(started.key())) {
                byKey.get(started.key()).ran = true;
                byKey.get(started.key()).provenNotRunAtMs = Double.POSITIVE_INFINITY;
            } else if (event instanceof TraceEvent.AttemptEnded ended && byKey.containsKey(ended.key())) {
                byKey.get(ended.key()).recordEnd(ended.t());
            } else if (event instanceof TraceEvent.BoxStopped stopped) {
                openByBox.getOrDefault(stopped.box(), List.of()).forEach(attempt -> attempt.recordEnd(stopped.t()));
                openByBox.remove(stopped.box());
                boxStopTimes
                        .computeIfAbsent(stopped.box(), k -> new ArrayList<>())
                        .add(stopped.t());
            } else if (event instanceof TraceEvent.BoxMuted muted) {
                addBoundary(boxMutePeriods.computeIfAbsent(muted.box(), k -> new ArrayList<>()), muted.t(), muted.on());
                if (muted.from() != null) {
                    addBoundary(
                            hallCutPeriods.computeIfAbsent(muted.box(), k -> new ArrayList<>()), muted.t(), muted.on());
                }
            } else if (event instanceof TraceEvent.FrontStopped stopped) {
                addBoundary(
                        frontNotRunningPeriods.computeIfAbsent(stopped.front(), k -> new ArrayList<>()),
                        stopped.t(),
                        true);
                addBoundary(
                        frontDownPeriods.computeIfAbsent(stopped.front(), k -> new ArrayList<>()), stopped.t(), true);
            } else if (event instanceof TraceEvent.FrontStarted started) {
                addBoundary(
                        frontNotRunningPeriods.computeIfAbsent(started.front(), k -> new ArrayList<>()),
                        started.t(),
                        false);
                addBoundary(
                        frontDownPeriods.computeIfAbsent(started.front(), k -> new ArrayList<>()), started.t(), false);
            } else if (event instanceof TraceEvent.FrontStalled stalled) {
                frontNotRunningPeriods
                        .computeIfAbsent(stalled.front(), k -> new ArrayList<>())
                        .add(new double[] {stalled.t(), stalled.t() + stalled.ms()});
            }
        }
    }

    /** Opens a new period, or closes the last one if it is open. */
    private static void addBoundary(List<double[]> periods, double timeMs, boolean begins) {
        if (begins) {
            periods.add(new double[] {timeMs, Double.POSITIVE_INFINITY});
        } else if (!periods.isEmpty() && Double.isInfinite(periods.get(periods.size() - 1)[1])) {
            periods.get(periods.size() - 1)[1] = timeMs;
        }
    }

    Collection<Attempt> all() {
        return byKey.values();
    }

    Map<String, List<Attempt>> byToken() {
        return byToken;
    }

    Attempt byKey(String key) {
        return byKey.get(key);
    }

    /** True when the box neither read nor wrote, towards all fronts or one hall, at any time in the interval. */
    boolean wasBoxMute(String box, double fromMs, double toMs) {
        return overlapMs(boxMutePeriods.getOrDefault(box, List.of()), fromMs, toMs) > 0;
    }

    /** Time in the interval for which the box neither read nor wrote, towards all fronts or one hall. */
    double boxMuteMs(String box, double fromMs, double toMs) {
        return overlapMs(boxMutePeriods.getOrDefault(box, List.of()), fromMs, toMs);
    }

    /** True when the box was unreachable from some hall at any time in the interval. */
    boolean wasHallCut(String box, double fromMs, double toMs) {
        return overlapMs(hallCutPeriods.getOrDefault(box, List.of()), fromMs, toMs) > 0;
    }

    /** True when the process of the box ended in the interval. */
    boolean hasBoxStopped(String box, double fromMs, double toMs) {
        return boxStopTimes.getOrDefault(box, List.of()).stream()
                .anyMatch(timeMs -> timeMs >= fromMs && timeMs <= toMs);
    }

    /** True when the process of the front was not alive at any time in the interval. */
    boolean wasFrontDown(int front, double fromMs, double toMs) {
        return overlapMs(frontDownPeriods.getOrDefault(front, List.of()), fromMs, toMs) > 0;
    }

    /** Time in the interval for which the process of the front was not alive or stalled. */
    double frontNotRunningMs(int front, double fromMs, double toMs) {
        return overlapMs(frontNotRunningPeriods.getOrDefault(front, List.of()), fromMs, toMs);
    }

    private static double overlapMs(List<double[]> periods, double fromMs, double toMs) {
        double sum = 0;
        for (double[] period : periods) {
            sum += Math.max(0, Math.min(toMs, period[1]) - Math.max(fromMs, period[0]));
        }
        return sum;
    }
}
