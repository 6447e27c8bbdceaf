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

/** Reads a front's configuration into the settings of its decision module. Unknown keys are ignored. */
public final class SettingsReader {
    private final FlattenedObject fields;

    /** Reads from the fields of a configuration. */
    public SettingsReader(FlattenedObject fields) {
        this.fields = fields;
    }

    /** Returns the names of the values in a load report, in order; empty when servers send no reports. */
    public List<String> reportNames() {
        return fields.has("report.names") ? List.of(fields.text("report.names").split(",")) : List.of();
    }

    /** Returns a load report from its values by name. Missing values are NaN. */
    public static Load load(Map<String, Double> values) {
        double link = values.getOrDefault("x0", values.getOrDefault("util", Double.NaN));
        return new Load(values.getOrDefault("inflight", Double.NaN), link, values.getOrDefault("x1", Double.NaN));
    }

    /** Returns a load report from values in the order of {@code names}. */
    public static Load load(List<String> names, List<Double> values) {
        Map<String, Double> byName = new HashMap<>();
        for (int i = 0; i < values.size() && i < names.size(); i++) {
            byName.put(names.get(i), values.get(i));
        }
        return load(byName);
    }

    /**
     * Returns the settings of the module.
     *
     * @throws InvalidFieldException naming the first setting that is missing or wrong
     */
    public Settings settings() {
        return new Settings(
                fields.integer("me"),
                fields.integer("balancers"),
                fields.text("az"),
                classes(),
                tenants(),
                kinds(),
                fields.numbers("family_info.level_kb"),
                fields.numbers("family_info.worth_by_rung"),
                fields.integer("family_info.cells"),
                fields.integer("family_info.racks"),
                fields.number("family_info.links_kb"),
                fields.number("family_info.weight_kb"),
                fields.number("family_info.rack_kb"),
                fields.number("family_info.stall"),
                fields.number("family_info.change_costs_s") * 1000,
                fields.number("family_info.told_late"),
                fields.number("family_info.tell"),
                fields.integer("limits.max_attempts"),
                fields.number("limits.max_retry_after"),
                fields.number("penalties.cross_zone"),
                fields.number("over_share_worth"),
                rules());
    }

    private Rules rules() {
        return new Rules(
                fields.number("safety.cold"),
                fields.number("safety.cold_share"),
                fields.number("safety.tip_multiple"),
                fields.number("safety.fall"),
                fields.optionalNumber("safety.spare_attempts"),
                fields.optionalNumber("safety.resend_ratio"),
                fields.optionalNumber("safety.resend_span"));
    }

    private List<ServiceClass> classes() {
        List<ServiceClass> classes = new ArrayList<>();
        List<Double> floors = fields.numbers("family_info.class_floor");
        List<Double> tops = fields.numbers("family_info.class_top");
        List<Double> scales = fields.numbers("family_info.scale_by_class");
        List<Double> seats = fields.numbers("family_info.class_seats");
        int count = fields.integer("classes.count");
        for (int i = 0; i < count; i++) {
            FlattenedObject type = fields.section("classes." + i + ".");
            classes.add(new ServiceClass(
                    type.text("name"),
                    type.number("target"),
                    type.number("value"),
                    !type.text("effect").equals("repeatable"),
                    (int) fields.item("family_info.class_floor", floors, i),
                    (int) fields.item("family_info.class_top", tops, i),
                    fields.item("family_info.scale_by_class", scales, i),
                    (int) fields.item("family_info.class_seats", seats, i)));
        }
        return classes;
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < fields.itemCount("tenants"); i++) {
            FlattenedObject tenant = fields.section("tenants." + i + ".");
            tenants.add(new Tenant(tenant.text("name"), tenant.number("share"), tenant.optionalNumber("quota_per_s")));
        }
        return tenants;
    }

    private List<Kind> kinds() {
        List<Kind> kinds = new ArrayList<>();
        List<Double> places = fields.numbers("family_info.places_by_kind");
        String[] names = fields.text("models").split(",");
        for (int i = 0; i < names.length; i++) {
            kinds.add(new Kind(names[i], fields.item("family_info.places_by_kind", places, i)));
        }
        return kinds;
    }
}
