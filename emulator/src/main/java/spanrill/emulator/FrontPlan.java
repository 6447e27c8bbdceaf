package spanrill.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.SessionControl;
import spanrill.day.Day;
import spanrill.day.FleetPlan;
import spanrill.decisions.AnswerDeadline;
import spanrill.session.CoreSettings;
import spanrill.session.SessionType;

/** The settings of a day's fronts: the same as a rehearsal writes for its front processes. */
public final class FrontPlan {
    private static final double ANSWER_MARGIN_MS = 150;
    private static final double IDLE_MS = 8000;
    private static final double MOVE_RETURN_MS = 250;
    private static final double SAME_MS = 250;
    private static final int TOKENS = 200_000;

    private FrontPlan() {}

    /** The settings of one front. */
    public static CoreSettings of(Day day, FleetPlan fleet, int me, long seed) {
        int highest = day.ladder().kb().size() - 1;
        List<SessionControl.ServiceClass> classes = new ArrayList<>();
        Map<String, SessionType> types = new HashMap<>();
        day.classes().forEach((name, c) -> {
            classes.add(new SessionControl.ServiceClass(
                    name, c.aimMs(), c.worth(), c.once(), c.floor(), Math.min(c.top(), highest), c.scale(), c.seats()));
            types.put(
                    name,
                    new SessionType(
                            c.once(), c.floor(), c.scale(), new AnswerDeadline(c.patienceMs(), ANSWER_MARGIN_MS)));
        });
        double links = fleet.totalLinkKbytesPerS();
        Day.Rules rules = day.rules();
        SessionControl.Settings module = new SessionControl.Settings(
                me,
                day.fronts(),
                day.zones().get(me % day.zones().size()),
                classes,
                List.of(),
                List.of(new SessionControl.Kind("std", day.boxes().places())),
                day.ladder().kb(),
                day.ladder().worth(),
                day.boxes().count(),
                day.boxes().racks(),
                links,
                day.boxes().linkKb(),
                links * day.boxes().uplinkShare() / day.boxes().racks(),
                day.notes().stall(),
                day.notes().changeCostMs(),
                day.notes().lateMs(),
                day.notes().tellMs(),
                rules.maxAttempts(),
                rules.maxRetryAfterMs(),
                rules.crossZonePrice(),
                1,
                new SessionControl.Rules(
                        day.boxes().coldMs(),
                        day.boxes().coldShare(),
                        rules.fallMultiple(),
                        rules.fallMs(),
                        orNaN(rules.spareAttempts()),
                        orNaN(rules.attemptShare()),
                        orNaN(rules.attemptWindowMs())));
        return new CoreSettings(
                module,
                seed * 1000 + me,
                Map.copyOf(types),
                IDLE_MS,
                MOVE_RETURN_MS,
                SAME_MS,
                TOKENS,
                rules.maxRetryAfterMs());
    }

    private static double orNaN(Double value) {
        return value == null ? Double.NaN : value;
    }
}
