package spanrill.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import spanrill.day.Day;
import spanrill.emulator.Emulator;
import spanrill.emulator.Hindrance;
import spanrill.emulator.Worth;

/**
 * What stands between a day's service and the best possible: the day is played again without one hindrance at
 * a time, and without all.
 *
 * @param gains service gained without each alone
 * @param together service gained without all of them
 * @param rest what is left to the bound then
 */
record Hindrances(Map<Hindrance, Double> gains, double together, double rest) {

    static Hindrances of(Day day, long seed, Emulator.Options options, Worth worth) {
        List<Day> days = new ArrayList<>();
        for (Hindrance each : Hindrance.values()) {
            days.add(each.without(day));
        }
        days.add(Hindrance.withoutAll(day));
        double[] services = IntStream.range(0, days.size())
                .parallel()
                .mapToDouble(i -> {
                    try {
                        return Emulator.play(days.get(i), seed, options).worth().service();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                })
                .toArray();
        Map<Hindrance, Double> gains = new LinkedHashMap<>();
        for (Hindrance each : Hindrance.values()) {
            gains.put(each, services[each.ordinal()] - worth.service());
        }
        double all = services[services.length - 1];
        return new Hindrances(gains, all - worth.service(), worth.bound() - all);
    }

    void print(PrintWriter out) {
        gains.forEach((each, gain) -> out.printf(Locale.ROOT, "    without %-16s %+.3f%n", each.words(), gain));
        out.printf(
                Locale.ROOT,
                "    without all of them      %+.3f (alone they sum to %+.3f)%n",
                together,
                gains.values().stream().mapToDouble(Double::doubleValue).sum());
        out.printf(Locale.ROOT, "    rest to the bound        %+.3f%n", rest);
    }

    void putInto(ObjectNode root) {
        ObjectNode node = root.putObject("hindrances");
        gains.forEach((each, gain) -> node.put(each.words(), gain));
        node.put("together", together).put("rest", rest);
    }
}
