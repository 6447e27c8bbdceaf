package spanrill.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Determines from the records why established sessions ended before their viewers wanted to stop. The reason that the
 * front gave the viewer is combined with the recorded failures of the front and of the box.
 */
public final class EarlyEnds {
    /**
     * A session that is lost with its box, front or hall ends within this time: it covers the front's idle time-out and
     * the viewer's patience with a segment.
     */
    private static final double FAILURE_TO_END_MS = 12_000;

    /** Maximum time between the record of a front's failure and the recorded end of its session, in either order. */
    private static final double FRONT_FAILURE_MARGIN_MS = 1000;

    /** Cause of an early end. The constants are written to reports and rows under their names. */
    public enum Cause {
        /** The box crashed, was restarted or became mute. */
        BOX,
        /** The process of the front ended or stalled. */
        FRONT,
        /** The connection between the halls of the front and the box was cut. */
        HALL,
        /** The policy module moved the session off its box and no other box accepted it. */
        MOVE_REFUSED,
        /** The delivered rate was too low, and the viewer lost patience with a segment. */
        TOO_SLOW,
        /** The front assumed that the player had left, because it was idle. */
        TAKEN_FOR_GONE,
        /** No other cause applies. */
        OTHER
    }

    /**
     * One early end.
     *
     * @param t time at which the viewer noticed the end, in ms of the records' clock
     * @param serviceClass class of the session; empty when the request is not recorded
     */
    public record End(double t, String serviceClass, Cause cause) {}

    private EarlyEnds() {}

    /** Returns all early ends of a run, in order of time. */
    public static List<End> find(List<TraceEvent> records) {
        List<TraceEvent> events = new ArrayList<>(records);
        events.sort(Comparator.comparingDouble(TraceEvent::t));
        AttemptIndex attempts = new AttemptIndex(events);
        Map<String, String> classByToken = new HashMap<>();
        List<End> ends = new ArrayList<>();
        for (TraceEvent event : events) {
            if (event instanceof TraceEvent.Request request) {
                classByToken.put(request.token(), request.cls());
            } else if (event instanceof TraceEvent.SessionBroken broken) {
                ends.add(new End(
                        broken.t(), classByToken.getOrDefault(broken.token(), ""), determineCause(broken, attempts)));
            }
        }
        return ends;
    }

    /** Counts the ends by cause; a cause without an end has the count 0. */
    public static Map<Cause, Long> countByCause(List<End> ends) {
        Map<Cause, Long> counts = new EnumMap<>(Cause.class);
        for (Cause cause : Cause.values()) {
            counts.put(cause, ends.stream().filter(end -> end.cause() == cause).count());
        }
        return counts;
    }

    private static Cause determineCause(TraceEvent.SessionBroken broken, AttemptIndex attempts) {
        String reason = broken.why() == null ? "" : broken.why();
        if (reason.equals("move-refused")) {
            return Cause.MOVE_REFUSED;
        }
        double endMs = broken.t();
        if (attempts.frontNotRunningMs(broken.front(), endMs - FRONT_FAILURE_MARGIN_MS, endMs + FRONT_FAILURE_MARGIN_MS)
                > 0) {
            return Cause.FRONT;
        }
        AttemptIndex.Attempt lastStarted = null;
        for (AttemptIndex.Attempt attempt : attempts.byToken().getOrDefault(broken.token(), List.of())) {
            lastStarted = attempt.ran ? attempt : lastStarted;
        }
        if (lastStarted != null) {
            double fromMs = Math.max(lastStarted.setUp.t(), endMs - FAILURE_TO_END_MS);
            String box = lastStarted.setUp.box();
            if (attempts.hasBoxStopped(box, fromMs, endMs)) {
                return Cause.BOX;
            }
            if (attempts.wasHallCut(box, fromMs, endMs)) {
                return Cause.HALL;
            }
            if (attempts.wasBoxMute(box, fromMs, endMs)) {
                return Cause.BOX;
            }
        }
        if (reason.startsWith("box")) {
            return Cause.BOX;
        }
        if (reason.equals("idle")) {
            return Cause.TAKEN_FOR_GONE;
        }
        return broken.status() < 0 ? Cause.TOO_SLOW : Cause.OTHER;
    }
}
