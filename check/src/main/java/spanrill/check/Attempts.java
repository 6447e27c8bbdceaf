package spanrill.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the boxes' sockets saw of each attempt, gathered before the rules are judged. */
final class Attempts {
    /** One set-up as its box saw it. */
    static final class Attempt {
        final TraceEvent.SetUp setUp;
        double endedAt = Double.POSITIVE_INFINITY;
        double provenAt = Double.POSITIVE_INFINITY;
        boolean ran;
        double answeredAt = Double.POSITIVE_INFINITY;

        Attempt(TraceEvent.SetUp setUp) {
            this.setUp = setUp;
        }

        /** True when at this time it was proven that it never ran. */
        boolean proven(double t) {
            return provenAt <= t;
        }

        void end(double t) {
            endedAt = Math.min(endedAt, t);
        }
    }

    private final Map<String, Attempt> byKey = new LinkedHashMap<>();
    private final Map<String, List<Attempt>> byToken = new LinkedHashMap<>();
    private final Map<String, List<double[]>> mute = new HashMap<>();
    private final Map<String, List<double[]>> cut = new HashMap<>();
    private final Map<String, List<Double>> down = new HashMap<>();
    private final Map<Integer, List<double[]>> away = new HashMap<>();
    private final Map<Integer, List<double[]>> dead = new HashMap<>();

    Attempts(List<TraceEvent> events) {
        Map<String, List<Attempt>> open = new HashMap<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.SetUp setUp) {
                Attempt attempt = new Attempt(setUp);
                byKey.put(setUp.key(), attempt);
                byToken.computeIfAbsent(setUp.token(), k -> new ArrayList<>()).add(attempt);
                open.computeIfAbsent(setUp.box(), k -> new ArrayList<>()).add(attempt);
            } else if (event instanceof TraceEvent.SetUpAnswer answer && byKey.containsKey(answer.key())) {
                Attempt attempt = byKey.get(answer.key());
                attempt.answeredAt = answer.t();
                if (answer.status() == 503 && answer.reason() != null) {
                    attempt.provenAt = answer.t();
                }
                if (answer.status() != 200) {
                    attempt.end(answer.t());
                }
            } else if (event instanceof TraceEvent.CancelAnswer answer && byKey.containsKey(answer.key())) {
                Attempt attempt = byKey.get(answer.key());
                // Its word is taken only as far as the records bear it out.
                if (!answer.ran() && !attempt.ran) {
                    attempt.provenAt = Math.min(attempt.provenAt, answer.t());
                }
                attempt.end(answer.t());
            } else if (event instanceof TraceEvent.AttemptStarted ran && byKey.containsKey(ran.key())) {
                byKey.get(ran.key()).ran = true;
                byKey.get(ran.key()).provenAt = Double.POSITIVE_INFINITY;
            } else if (event instanceof TraceEvent.AttemptEnded end && byKey.containsKey(end.key())) {
                byKey.get(end.key()).end(end.t());
            } else if (event instanceof TraceEvent.BoxStopped down) {
                open.getOrDefault(down.box(), List.of()).forEach(a -> a.end(down.t()));
                open.remove(down.box());
                this.down.computeIfAbsent(down.box(), k -> new ArrayList<>()).add(down.t());
            } else if (event instanceof TraceEvent.BoxMuted m) {
                span(mute.computeIfAbsent(m.box(), k -> new ArrayList<>()), m.t(), m.on());
                if (m.from() != null) {
                    span(cut.computeIfAbsent(m.box(), k -> new ArrayList<>()), m.t(), m.on());
                }
            } else if (event instanceof TraceEvent.FrontStopped down) {
                span(away.computeIfAbsent(down.front(), k -> new ArrayList<>()), down.t(), true);
                span(dead.computeIfAbsent(down.front(), k -> new ArrayList<>()), down.t(), true);
            } else if (event instanceof TraceEvent.FrontStarted up) {
                span(away.computeIfAbsent(up.front(), k -> new ArrayList<>()), up.t(), false);
                span(dead.computeIfAbsent(up.front(), k -> new ArrayList<>()), up.t(), false);
            } else if (event instanceof TraceEvent.FrontStalled stall) {
                away.computeIfAbsent(stall.front(), k -> new ArrayList<>())
                        .add(new double[] {stall.t(), stall.t() + stall.ms()});
            }
        }
    }

    private static void span(List<double[]> spans, double t, boolean begins) {
        if (begins) {
            spans.add(new double[] {t, Double.POSITIVE_INFINITY});
        } else if (!spans.isEmpty() && Double.isInfinite(spans.get(spans.size() - 1)[1])) {
            spans.get(spans.size() - 1)[1] = t;
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

    /** True when the box was mute at any time from one time to another. */
    boolean mute(String box, double from, double to) {
        return overlaps(mute.getOrDefault(box, List.of()), from, to) > 0;
    }

    /** How long the box neither read nor wrote, to all or to a hall, from one time to another. */
    double muteMs(String box, double from, double to) {
        return overlaps(mute.getOrDefault(box, List.of()), from, to);
    }

    /** True when the box could not be reached from some hall at any time from one time to another. */
    boolean cut(String box, double from, double to) {
        return overlaps(cut.getOrDefault(box, List.of()), from, to) > 0;
    }

    /** True when the box's process ended from one time to another. */
    boolean down(String box, double from, double to) {
        return down.getOrDefault(box, List.of()).stream().anyMatch(t -> t >= from && t <= to);
    }

    /** True when the front's process was dead at any time from one time to another. */
    boolean dead(int front, double from, double to) {
        return overlaps(dead.getOrDefault(front, List.of()), from, to) > 0;
    }

    /** How long a front did not run (dead or standing still) from one time to another. */
    double away(int front, double from, double to) {
        return overlaps(away.getOrDefault(front, List.of()), from, to);
    }

    private static double overlaps(List<double[]> spans, double from, double to) {
        double sum = 0;
        for (double[] span : spans) {
            sum += Math.max(0, Math.min(to, span[1]) - Math.max(from, span[0]));
        }
        return sum;
    }
}
