package spanrill.emulator;

import java.util.List;
import java.util.Locale;
import spanrill.day.Day;

/** What stands between a day and the best possible, each of which can be taken away by itself. */
public enum Hindrance {
    /** Reports of links and uplinks come late and seldom. */
    LATE_REPORTS {
        @Override
        public Day without(Day day) {
            Day.Notes n = day.notes();
            return day.withNotes(new Day.Notes(0, Math.min(n.tellMs(), 250), n.stall(), n.changeCostMs()));
        }
    },
    /** Lists come late. */
    LATE_LISTS {
        @Override
        public Day without(Day day) {
            return day.withRegistry(new Day.Registry(List.of(0.0, 0.0), List.of(0.0, 0.0)));
        }
    },
    /** Many fronts, each of which hears its part only. */
    MANY_FRONTS {
        @Override
        public Day without(Day day) {
            // One in each hall: with fewer, a cut hall would have none.
            return day.withFronts(Math.min(day.fronts(), day.zones().size()));
        }
    },
    /** Set-ups take time. */
    SET_UP_TIME {
        @Override
        public Day without(Day day) {
            Day.Boxes b = day.boxes();
            return day.withBoxes(new Day.Boxes(
                    b.count(),
                    b.racks(),
                    b.places(),
                    b.linkKb(),
                    b.linkSpread(),
                    b.uplinkShare(),
                    b.uplinkSpread(),
                    0,
                    b.coldMs(),
                    b.coldShare()));
        }
    },
    /** Boxes start cold. */
    COLD_STARTS {
        @Override
        public Day without(Day day) {
            Day.Boxes b = day.boxes();
            return day.withBoxes(new Day.Boxes(
                    b.count(),
                    b.racks(),
                    b.places(),
                    b.linkKb(),
                    b.linkSpread(),
                    b.uplinkShare(),
                    b.uplinkSpread(),
                    b.setUpMs(),
                    0,
                    1));
        }
    },
    /** Changes of rungs and crossing halls have their price. */
    PRICES {
        @Override
        public Day without(Day day) {
            Day.Notes n = day.notes();
            Day.Rules r = day.rules();
            return day.withNotes(new Day.Notes(n.lateMs(), n.tellMs(), n.stall(), 0))
                    .withRules(new Day.Rules(
                            r.maxAttempts(),
                            r.maxRetryAfterMs(),
                            0,
                            r.drainGraceMs(),
                            r.fallMultiple(),
                            r.fallMs(),
                            r.spareAttempts(),
                            r.attemptShare(),
                            r.attemptWindowMs()));
        }
    },
    /** Further attempts are rationed, and few. */
    FEW_ATTEMPTS {
        @Override
        public Day without(Day day) {
            Day.Rules r = day.rules();
            return day.withRules(new Day.Rules(
                    20,
                    r.maxRetryAfterMs(),
                    r.crossZonePrice(),
                    r.drainGraceMs(),
                    r.fallMultiple(),
                    r.fallMs(),
                    null,
                    null,
                    null));
        }
    };

    /** The day without it. */
    public abstract Day without(Day day);

    /** The day without any of them. */
    public static Day withoutAll(Day day) {
        Day left = day;
        for (Hindrance each : values()) {
            left = each.without(left);
        }
        return left;
    }

    /** Its name in words. */
    public String words() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
