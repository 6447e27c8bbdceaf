package spanrill.simhost;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.SessionControl.Kind;
import spanrill.SessionControl.Rules;
import spanrill.SessionControl.ServiceClass;
import spanrill.SessionControl.Settings;
import spanrill.SessionControl.Tenant;

/** Turns the path=value pairs of an INIT line into settings; keys it does not know are ignored. */
final class SetupReader {
    private final Line line;
    private final Map<String, String> pairs = new HashMap<>();

    private SetupReader(Line line) {
        this.line = line;
        while (line.more()) {
            String pair = line.text("setup");
            int eq = pair.indexOf('=');
            if (eq <= 0) {
                throw line.fault("setup", "has a part that is not path=value: '" + pair + "'");
            }
            pairs.put(pair.substring(0, eq), pair.substring(eq + 1));
        }
    }

    /** Reads the pairs from what is left of the line. */
    static SetupReader open(Line line) {
        return new SetupReader(line);
    }

    /** The names of the values of a load report, in order; none where servers do not report. */
    List<String> reportNames() {
        String names = pairs.get("report.names");
        return names == null ? List.of() : List.of(names.split(","));
    }

    Settings settings() {
        return new Settings(integer("me"), integer("balancers"), text("az"), classes(), tenants(), kinds(),
                numbers("family_info.level_kb"), numbers("family_info.worth_by_rung"),
                integer("family_info.cells"), integer("family_info.racks"), number("family_info.links_kb"),
                number("family_info.weight_kb"), number("family_info.rack_kb"), number("family_info.stall"),
                number("family_info.change_costs_s") * 1000, number("family_info.told_late"),
                number("family_info.tell"), integer("limits.max_attempts"), number("limits.max_retry_after"),
                number("penalties.cross_zone"), number("over_share_worth"),
                new Rules(number("safety.cold"), number("safety.cold_share"), number("safety.tip_multiple"),
                        number("safety.fall"), optional("safety.spare_attempts"),
                        optional("safety.resend_ratio"), optional("safety.resend_span")));
    }

    private List<ServiceClass> classes() {
        List<ServiceClass> classes = new ArrayList<>();
        List<Double> floors = numbers("family_info.class_floor");
        List<Double> tops = numbers("family_info.class_top");
        List<Double> scales = numbers("family_info.scale_by_class");
        List<Double> seats = numbers("family_info.class_seats");
        int count = integer("classes.count");
        for (int i = 0; i < count; i++) {
            String at = "classes." + i + ".";
            classes.add(new ServiceClass(text(at + "name"), number(at + "target"), number(at + "value"),
                    !text(at + "effect").equals("repeatable"),
                    (int) item("family_info.class_floor", floors, i),
                    (int) item("family_info.class_top", tops, i),
                    item("family_info.scale_by_class", scales, i),
                    (int) item("family_info.class_seats", seats, i)));
        }
        return classes;
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        int count = pairs.containsKey("tenants.count") ? integer("tenants.count") : 0;
        for (int i = 0; i < count; i++) {
            String at = "tenants." + i + ".";
            tenants.add(new Tenant(text(at + "name"), number(at + "share"), optional(at + "quota_per_s")));
        }
        return tenants;
    }

    private List<Kind> kinds() {
        List<Kind> kinds = new ArrayList<>();
        List<Double> places = numbers("family_info.places_by_kind");
        String[] names = text("models").split(",");
        for (int i = 0; i < names.length; i++) {
            kinds.add(new Kind(names[i], item("family_info.places_by_kind", places, i)));
        }
        return kinds;
    }

    private double item(String key, List<Double> list, int i) {
        if (i >= list.size()) {
            throw line.fault(key, "has too few items");
        }
        return list.get(i);
    }

    private String text(String key) {
        String value = pairs.get(key);
        if (value == null) {
            throw line.fault(key, "is missing in setup");
        }
        return value;
    }

    private int integer(String key) {
        return (int) number(key);
    }

    private double number(String key) {
        return parse(key, text(key));
    }

    private double optional(String key) {
        return pairs.containsKey(key) ? number(key) : Double.NaN;
    }

    private List<Double> numbers(String key) {
        List<Double> list = new ArrayList<>();
        for (String item : text(key).split(",")) {
            list.add(parse(key, item));
        }
        return list;
    }

    private double parse(String key, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // said below, with the key
        }
        throw line.fault(key, "is not a number: '" + value + "'");
    }
}
