package spanrill.setup;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.SessionControl.Kind;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.Rules;
import spanrill.SessionControl.ServiceClass;
import spanrill.SessionControl.Settings;
import spanrill.SessionControl.Tenant;

/** SerialExecutor the operators' settings of an instance into the module's; keys that it does not know are ignored. */
public final class SettingsReader {
    private final FlattenedObject pairs;

    /** Reads from these. */
    public SettingsReader(FlattenedObject pairs) {
        this.pairs = pairs;
    }

    /** The names of the values of a load report, in order; none where servers do not report. */
    public List<String> reportNames() {
        return pairs.has("report.names") ? List.of(pairs.text("report.names").split(",")) : List.of();
    }

    /** A load report from its values by name; what is absent is NaN. */
    public static Load load(Map<String, Double> values) {
        double link = values.getOrDefault("x0", values.getOrDefault("util", Double.NaN));
        return new Load(values.getOrDefault("inflight", Double.NaN), link, values.getOrDefault("x1", Double.NaN));
    }

    /** A load report from values in the order of {@code names}. */
    public static Load load(List<String> names, List<Double> values) {
        Map<String, Double> byName = new HashMap<>();
        for (int i = 0; i < values.size() && i < names.size(); i++) {
            byName.put(names.get(i), values.get(i));
        }
        return load(byName);
    }

    /**
     * The module's settings.
     *
     * @throws InvalidFieldException naming the first setting that is missing or wrong
     */
    public Settings settings() {
        return new Settings(
                pairs.integer("me"),
                pairs.integer("balancers"),
                pairs.text("az"),
                classes(),
                tenants(),
                kinds(),
                pairs.numbers("family_info.level_kb"),
                pairs.numbers("family_info.worth_by_rung"),
                pairs.integer("family_info.cells"),
                pairs.integer("family_info.racks"),
                pairs.number("family_info.links_kb"),
                pairs.number("family_info.weight_kb"),
                pairs.number("family_info.rack_kb"),
                pairs.number("family_info.stall"),
                pairs.number("family_info.change_costs_s") * 1000,
                pairs.number("family_info.told_late"),
                pairs.number("family_info.tell"),
                pairs.integer("limits.max_attempts"),
                pairs.number("limits.max_retry_after"),
                pairs.number("penalties.cross_zone"),
                pairs.number("over_share_worth"),
                rules());
    }

    private Rules rules() {
        return new Rules(
                pairs.number("safety.cold"),
                pairs.number("safety.cold_share"),
                pairs.number("safety.tip_multiple"),
                pairs.number("safety.fall"),
                pairs.optionalNumber("safety.spare_attempts"),
                pairs.optionalNumber("safety.resend_ratio"),
                pairs.optionalNumber("safety.resend_span"));
    }

    private List<ServiceClass> classes() {
        List<ServiceClass> classes = new ArrayList<>();
        List<Double> floors = pairs.numbers("family_info.class_floor");
        List<Double> tops = pairs.numbers("family_info.class_top");
        List<Double> scales = pairs.numbers("family_info.scale_by_class");
        List<Double> seats = pairs.numbers("family_info.class_seats");
        int count = pairs.integer("classes.count");
        for (int i = 0; i < count; i++) {
            FlattenedObject one = pairs.section("classes." + i + ".");
            classes.add(new ServiceClass(
                    one.text("name"),
                    one.number("target"),
                    one.number("value"),
                    !one.text("effect").equals("repeatable"),
                    (int) pairs.item("family_info.class_floor", floors, i),
                    (int) pairs.item("family_info.class_top", tops, i),
                    pairs.item("family_info.scale_by_class", scales, i),
                    (int) pairs.item("family_info.class_seats", seats, i)));
        }
        return classes;
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < pairs.itemCount("tenants"); i++) {
            FlattenedObject one = pairs.section("tenants." + i + ".");
            tenants.add(new Tenant(one.text("name"), one.number("share"), one.optionalNumber("quota_per_s")));
        }
        return tenants;
    }

    private List<Kind> kinds() {
        List<Kind> kinds = new ArrayList<>();
        List<Double> places = pairs.numbers("family_info.places_by_kind");
        String[] names = pairs.text("models").split(",");
        for (int i = 0; i < names.length; i++) {
            kinds.add(new Kind(names[i], pairs.item("family_info.places_by_kind", places, i)));
        }
        return kinds;
    }
}
