package spanrill.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Why playing sessions ended before their viewers wished it, from the records alone: what the viewer was told
 * is held against what was done to its front and to the box that it played at.
 */
public final class EarlyEnds {
    /** A session that ended for want of its box,
     * front or hall shows it within this time: the front's idle time
     * and the viewer's patience with a segment. */
    private static final double SHOWS_MS = 12_000;

    private static final double LOSS_SEEN_MS = 1000;

    /** Causes. */
    public enum Cause {
        /** Its box died, was restarted or went silent. */
        BOX,
        /** Its front died or stood still. */
        FRONT,
        /** A cut between halls lay between its front and its box. */
        HALL,
        /** The module took it off its box and no other took it. */
        MOVE_REFUSED,
        /** The rate was too low for its viewer to go on. */
        TOO_SLOW,
        /** Its front took its player for gone. */
        TAKEN_FOR_GONE,
        /** None of these. */
        OTHER
    }

    /**
     * One end.
     *
     * @param t when its viewer saw it
     * @param serviceClass class of session
     */
    public record End(double t, String serviceClass, Cause cause) {}

    private EarlyEnds() {}

    /** All of a run, in order of time. */
    public static List<End> find(List<TraceEvent> records) {
        List<TraceEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TraceEvent::t));
        Attempts attempts = new Attempts(events);
        Map<String, String> classes = new HashMap<>();
        List<End> ends = new ArrayList<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.Request ask) {
                classes.put(ask.token(), ask.cls());
            } else if (event instanceof TraceEvent.SessionBroken broke) {
                ends.add(new End(broke.t(), classes.getOrDefault(broke.token(), ""), cause(broke, attempts)));
            }
        }
        return ends;
    }

    /** How many of each cause; every cause has its count. */
    public static Map<Cause, Long> countByCause(List<End> ends) {
        Map<Cause, Long> counts = new EnumMap<>(Cause.class);
        for (Cause cause : Cause.values()) {
            counts.put(cause, ends.stream().filter(end -> end.cause() == cause).count());
        }
        return counts;
    }

    private static Cause cause(TraceEvent.SessionBroken broke, Attempts attempts) {
        String why = broke.why() == null ? "" : broke.why();
        if (why.equals("move-refused")) {
            return Cause.MOVE_REFUSED;
        }
        double t = broke.t();
        if (attempts.away(broke.front(), t - LOSS_SEEN_MS, t + LOSS_SEEN_MS) > 0) {
            return Cause.FRONT;
        }
        Attempts.Attempt last = null;
        for (Attempts.Attempt each : attempts.byToken().getOrDefault(broke.token(), List.of())) {
            last = each.ran ? each : last;
        }
        if (last != null) {
            double from = Math.max(last.setUp.t(), t - SHOWS_MS);
            String box = last.setUp.box();
            if (attempts.down(box, from, t)) {
                return Cause.BOX;
            }
            if (attempts.cut(box, from, t)) {
                return Cause.HALL;
            }
            if (attempts.mute(box, from, t)) {
                return Cause.BOX;
            }
        }
        if (why.startsWith("box")) {
            return Cause.BOX;
        }
        if (why.equals("idle")) {
            return Cause.TAKEN_FOR_GONE;
        }
        return broke.status() < 0 ? Cause.TOO_SLOW : Cause.OTHER;
    }
}
