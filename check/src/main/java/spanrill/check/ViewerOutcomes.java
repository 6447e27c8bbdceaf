package spanrill.check;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The viewers of a run: a viewer that is refused comes again, so that requests refused say little of viewers
 * lost. Each viewer that came is counted once.
 */
public final class ViewerOutcomes {
    /**
     * One viewer.
     *
     * @param name its name
     * @param serviceClass class of what it wants
     * @param arrivedMs when it first wanted to watch, ms of the records' clock
     * @param waitMs from then until it first played, waits between its tries included; NaN when it never did
     * @param requests requests that it wrote
     * @param departureReason why it doesn't come again, or null when it was still there at the end of the records
     */
    public record Viewer(
            String name, String serviceClass, double arrivedMs, double waitMs, int requests, String departureReason) {
        /** True when it played at all. */
        public boolean played() {
            return !Double.isNaN(waitMs);
        }
    }

    /**
     * Viewers together.
     *
     * @param came who came
     * @param played of these, who played in the end
     * @param gaveUp who never played and doesn't come again
     * @param left who left by themselves before the first answer, and never played
     * @param still who neither played nor went by the end of the records
     * @param waitMsP50 half of those who played did so within this time; NaN when nobody played
     * @param waitMsP99 and 99% of them within this
     */
    public record Group(
            long came, long played, long gaveUp, long left, long still, double waitMsP50, double waitMsP99) {
        /** True when each is counted once. */
        public boolean isConsistent() {
            return came == played + gaveUp + left + still;
        }
    }

    private static final class Seen {
        private final String cls;
        private final double cameAt;
        private double playedAt = Double.NaN;
        private int asks;
        private String went;

        Seen(String cls, double cameAt) {
            this.cls = cls;
            this.cameAt = cameAt;
        }
    }

    private final List<Viewer> viewers = new ArrayList<>();

    private ViewerOutcomes() {}

    /** Follows all viewers of a run. */
    public static ViewerOutcomes of(List<TraceEvent> records) {
        List<TraceEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TraceEvent::t));
        Map<String, Seen> all = new LinkedHashMap<>();
        Map<Long, Seen> asked = new LinkedHashMap<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.ViewerArrived came) {
                all.computeIfAbsent(came.viewer(), k -> new Seen(came.cls(), came.t()));
            } else if (event instanceof TraceEvent.Request ask) {
                Seen seen = all.computeIfAbsent(ask.viewer(), k -> new Seen(ask.cls(), ask.t()));
                seen.asks++;
                asked.put(ask.ask(), seen);
            } else if (event instanceof TraceEvent.Answer answer && asked.containsKey(answer.ask())) {
                Seen seen = asked.get(answer.ask());
                if (answer.answer().equals("plays") && Double.isNaN(seen.playedAt)) {
                    seen.playedAt = answer.t();
                }
            } else if (event instanceof TraceEvent.ViewerDeparted went && all.containsKey(went.viewer())) {
                all.get(went.viewer()).went = went.why();
            }
        }
        ViewerOutcomes viewers = new ViewerOutcomes();
        all.forEach((name, seen) -> viewers.viewers.add(
                new Viewer(name, seen.cls, seen.cameAt, seen.playedAt - seen.cameAt, seen.asks, seen.went)));
        return viewers;
    }

    /** Each viewer, in the order in which they came. */
    public List<Viewer> viewers() {
        return List.copyOf(viewers);
    }

    /** All together. */
    public Group all() {
        return group(viewers);
    }

    /** By class of session, sorted by name. */
    public Map<String, Group> byClass() {
        Map<String, Group> groups = new TreeMap<>();
        for (String cls :
                new TreeSet<>(viewers.stream().map(Viewer::serviceClass).toList())) {
            groups.put(
                    cls,
                    group(viewers.stream()
                            .filter(v -> v.serviceClass().equals(cls))
                            .toList()));
        }
        return groups;
    }

    /** What became of those who never played, by the word that they went with. */
    public Map<String, Long> departuresWithoutPlaying() {
        Map<String, Long> counts = new TreeMap<>();
        viewers.stream()
                .filter(v -> !v.played() && v.departureReason() != null)
                .forEach(v -> counts.merge(v.departureReason(), 1L, Long::sum));
        return counts;
    }

    private static Group group(List<Viewer> of) {
        double[] waits =
                of.stream().filter(Viewer::played).mapToDouble(Viewer::waitMs).toArray();
        Arrays.sort(waits);
        long left = of.stream()
                .filter(v -> !v.played() && "left".equals(v.departureReason()))
                .count();
        long still = of.stream()
                .filter(v -> !v.played() && v.departureReason() == null)
                .count();
        return new Group(
                of.size(),
                waits.length,
                of.size() - waits.length - left - still,
                left,
                still,
                percentile(waits, 0.5),
                percentile(waits, 0.99));
    }

    private static double percentile(double[] sorted, double part) {
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.max(0, Math.ceil(sorted.length * part) - 1)];
    }
}
