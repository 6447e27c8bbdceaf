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
 * Outcomes of the viewers of a run. A refused viewer may return with another request, so the number of refused requests
 * does not show how many viewers were lost. Each viewer is counted once.
 */
public final class ViewerOutcomes {
    /**
     * One viewer.
     *
     * @param name name of the viewer
     * @param serviceClass class of the session that the viewer requests
     * @param arrivedMs time at which the viewer first wanted to watch, in ms of the records' clock
     * @param waitMs time from the arrival to the first play, waits between requests included, in ms; NaN when the
     *     viewer never played
     * @param requests number of requests that the viewer wrote
     * @param departureReason reason why the viewer left for good, or null when the viewer was still present at the end
     *     of the records
     */
    public record Viewer(
            String name, String serviceClass, double arrivedMs, double waitMs, int requests, String departureReason) {
        /** True when the viewer played at least once. */
        public boolean played() {
            return !Double.isNaN(waitMs);
        }
    }

    /**
     * Counts and waiting times of a group of viewers. The component names appear in a message of the report.
     *
     * @param came viewers that arrived
     * @param played viewers that played at least once
     * @param gaveUp viewers that never played and departed, except those counted in {@code left}
     * @param left viewers that left of their own accord before the first answer and never played
     * @param still viewers that neither played nor left by the end of the records
     * @param waitMsP50 median of the time to the first play, in ms; NaN when nobody played
     * @param waitMsP99 99th percentile of the time to the first play, in ms; NaN when nobody played
     */
    public record Group(
            long came, long played, long gaveUp, long left, long still, double waitMsP50, double waitMsP99) {
        /** True when every viewer is counted exactly once. */
        public boolean isConsistent() {
            return came == played + gaveUp + left + still;
        }
    }

    /** State of a viewer while the records are read. */
    private static final class ViewerState {
        private final String serviceClass;
        private final double arrivedMs;
        private double firstPlayAtMs = Double.NaN;
        private int requests;
        private String departureReason;

        ViewerState(String serviceClass, double arrivedMs) {
            this.serviceClass = serviceClass;
            this.arrivedMs = arrivedMs;
        }
    }

    private final List<Viewer> viewers = new ArrayList<>();

    private ViewerOutcomes() {}

    /** Determines the outcome of each viewer in the records of a run. */
    public static ViewerOutcomes of(List<TraceEvent> records) {
        List<TraceEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TraceEvent::t));
        Map<String, ViewerState> statesByName = new LinkedHashMap<>();
        Map<Long, ViewerState> statesByRequest = new LinkedHashMap<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.ViewerArrived arrived) {
                statesByName.computeIfAbsent(arrived.viewer(), k -> new ViewerState(arrived.cls(), arrived.t()));
            } else if (event instanceof TraceEvent.Request request) {
                ViewerState state = statesByName.computeIfAbsent(
                        request.viewer(), k -> new ViewerState(request.cls(), request.t()));
                state.requests++;
                statesByRequest.put(request.ask(), state);
            } else if (event instanceof TraceEvent.Answer answer && statesByRequest.containsKey(answer.ask())) {
                ViewerState state = statesByRequest.get(answer.ask());
                if (answer.answer().equals("plays") && Double.isNaN(state.firstPlayAtMs)) {
                    state.firstPlayAtMs = answer.t();
                }
            } else if (event instanceof TraceEvent.ViewerDeparted departed
                    && statesByName.containsKey(departed.viewer())) {
                statesByName.get(departed.viewer()).departureReason = departed.why();
            }
        }
        ViewerOutcomes outcomes = new ViewerOutcomes();
        statesByName.forEach((name, state) -> outcomes.viewers.add(new Viewer(
                name,
                state.serviceClass,
                state.arrivedMs,
                state.firstPlayAtMs - state.arrivedMs,
                state.requests,
                state.departureReason)));
        return outcomes;
    }

    /** Returns all viewers in order of arrival. */
    public List<Viewer> viewers() {
        return List.copyOf(viewers);
    }

    /** Returns the group of all viewers. */
    public Group all() {
        return group(viewers);
    }

    /** Returns a group of viewers for each class, sorted by the name of the class. */
    public Map<String, Group> byClass() {
        Map<String, Group> groups = new TreeMap<>();
        for (String serviceClass :
                new TreeSet<>(viewers.stream().map(Viewer::serviceClass).toList())) {
            groups.put(
                    serviceClass,
                    group(viewers.stream()
                            .filter(v -> v.serviceClass().equals(serviceClass))
                            .toList()));
        }
        return groups;
    }

    /** Counts the viewers that left and never played, by departure reason. */
    public Map<String, Long> departuresWithoutPlaying() {
        Map<String, Long> counts = new TreeMap<>();
        viewers.stream()
                .filter(v -> !v.played() && v.departureReason() != null)
                .forEach(v -> counts.merge(v.departureReason(), 1L, Long::sum));
        return counts;
    }

    private static Group group(List<Viewer> members) {
        double[] waitsMs = members.stream()
                .filter(Viewer::played)
                .mapToDouble(Viewer::waitMs)
                .toArray();
        Arrays.sort(waitsMs);
        long left = members.stream()
                .filter(v -> !v.played() && "left".equals(v.departureReason()))
                .count();
        long stillPresent = members.stream()
                .filter(v -> !v.played() && v.departureReason() == null)
                .count();
        return new Group(
                members.size(),
                waitsMs.length,
                members.size() - waitsMs.length - left - stillPresent,
                left,
                stillPresent,
                percentile(waitsMs, 0.5),
                percentile(waitsMs, 0.99));
    }

    private static double percentile(double[] sorted, double fraction) {
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.max(0, Math.ceil(sorted.length * fraction) - 1)];
    }
}
