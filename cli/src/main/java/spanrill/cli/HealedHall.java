package spanrill.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spanrill.check.TraceEvent;
import spanrill.day.Day;
import spanrill.model.trouble.Effect;

/**
 * What became of the viewers of a hall that was cut off, after it healed: those who had asked before and
 * asked again at a front of the hall within {@value #WITHIN_MS} ms.
 *
 * @param hall its name
 * @param returned how many they are
 * @param answeredMsP99 from the healing until 99% of them had an answer: plays, or told to wait
 * @param plays of their first answers
 * @param refused of their first answers
 * @param unanswered those without one
 */
record HealedHall(String hall, int returned, double answeredMsP99, long plays, long refused, long unanswered) {
    static final int WITHIN_MS = 1000;

    /** All healings of a day. {@code began}: start of the day on the records' clock. */
    static List<HealedHall> of(List<TraceEvent> events, List<Effect> effects, double began, Day day) {
        List<HealedHall> all = new ArrayList<>();
        for (Effect effect : effects) {
            if (effect instanceof Effect.HallIsolation cut && !cut.isolated()) {
                all.add(of(events, began + cut.atMs(), cut.hall(), day));
            }
        }
        return all;
    }

    private static HealedHall of(List<TraceEvent> events, double healed, int hall, Day day) {
        Map<Long, String> asks = new HashMap<>();
        Map<String, Double> answered = new LinkedHashMap<>();
        long plays = 0;
        long refused = 0;
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.Request ask) {
                String viewer = ask.viewer();
                if (ask.t() >= healed
                        && ask.t() < healed + WITHIN_MS
                        && ask.front() % day.zones().size() == hall
                        && !answered.containsKey(viewer)) {
                    answered.put(viewer, Double.NaN);
                    asks.put(ask.ask(), viewer);
                }
            } else if (event instanceof TraceEvent.Answer answer
                    && asks.containsKey(answer.ask())
                    && Double.isNaN(answered.get(asks.get(answer.ask())))) {
                answered.put(asks.get(answer.ask()), answer.t() - healed);
                plays += answer.answer().equals("plays") ? 1 : 0;
                refused += answer.answer().equals("refused") ? 1 : 0;
            }
        }
        double[] times = answered.values().stream()
                .mapToDouble(Double::doubleValue)
                .filter(t -> !Double.isNaN(t))
                .toArray();
        Arrays.sort(times);
        double p99 = times.length == 0 ? Double.NaN : times[(int) Math.ceil(times.length * 0.99) - 1];
        return new HealedHall(
                day.zones().get(hall), answered.size(), p99, plays, refused, answered.size() - times.length);
    }
}
