package spanrill.day;

import java.util.List;
import java.util.Map;
import spanrill.model.trouble.Kind;
import spanrill.settings.Default;
import spanrill.settings.Range;

/**
 * A day file.
 *
 * @param seed seed of all that is drawn
 * @param lengthMs new sessions come for so long
 * @param tailMs then the rehearsal goes on for so long
 * @param byteScale share of the true bytes that cross the sockets
 * @param zones halls
 * @param fronts fronts, spread over the halls in turn
 * @param boxes replay boxes
 * @param titles titles
 * @param classes classes of session
 * @param ladder rates
 * @param notes what boxes tell
 * @param rules figures of the rules
 * @param arrivals new sessions
 * @param flashes flash crowds
 * @param distances between halls
 * @param viewers what viewers do
 * @param registry lateness of the list
 * @param troubles what goes wrong
 */
public record Day(
        @Default("1") long seed,
        @Range(min = 1000, max = 3_600_000) double lengthMs,
        @Default("5000") @Range(min = 0, max = 600_000) double tailMs,
        @Default("0.05") @Range(min = 0.0001, max = 1) double byteScale,
        @Range(min = 1, max = 64) List<String> zones,
        @Range(min = 1, max = 1000) int fronts,
        Boxes boxes,
        Titles titles,
        @Range(min = 1, max = 16) Map<String, DayClass> classes,
        Ladder ladder,
        Notes notes,
        Rules rules,
        Arrivals arrivals,
        @Default("[]") @Range(max = 100) List<Flash> flashes,
        @Default("{}") Distances distances,
        @Default("{}") Viewers viewers,
        @Default("{}") Registry registry,
        @Default("[]") @Range(max = 200) List<Trouble> troubles) {

    /**
     * Replay boxes.
     *
     * @param count how many
     * @param racks over so many racks
     * @param places streams that each runs at most
     * @param linkKb link of each, kB a second
     * @param linkSpread links are so much above or below
     * @param uplinkShare a rack's uplink over its links
     * @param uplinkSpread uplinks are so much above or below
     * @param setUpMs work of a set-up
     * @param coldMs warm after
     * @param coldShare share of it at the start
     */
    public record Boxes(
            @Range(min = 1, max = 1000) int count,
            @Range(min = 1, max = 200) int racks,
            @Range(min = 1) double places,
            @Range(min = 1) double linkKb,
            @Default("0") @Range(min = 0, max = 0.9) double linkSpread,
            @Default("1") @Range(min = 0.01, max = 100) double uplinkShare,
            @Default("0") @Range(min = 0, max = 0.9) double uplinkSpread,
            @Default("40") @Range(min = 0, max = 10_000) double setUpMs,
            @Range(min = 0, max = 600_000) double coldMs,
            @Range(min = 0.01, max = 1) double coldShare) {}

    /**
     * Titles.
     *
     * @param count how many
     * @param zipf exponent of their popularity
     * @param copies cells that hold one: from, to
     * @param durationMs length
     * @param segmentMs length of a segment
     * @param patternMs lengths of segments in turn, over and over; empty: all are of {@code segmentMs}
     * @param audioKb rate of the audio that comes out of each session's rate, kB a second; 0: none of its own
     */
    public record Titles(
            @Range(min = 1, max = 10_000) int count,
            @Default("0.8") @Range(min = 0, max = 4) double zipf,
            @Range(min = 2, max = 2) List<Integer> copies,
            @Default("600000") @Range(min = 1000) long durationMs,
            @Default("1000") @Range(min = 100, max = 60_000) long segmentMs,
            @Default("[]") @Range(max = 1000) List<Long> patternMs,
            @Default("0") @Range(min = 0, max = 1e6) double audioKb) {
        /** Lengths of segments in turn. */
        public List<Long> segmentLengthsMs() {
            return patternMs.isEmpty() ? List.of(segmentMs) : patternMs;
        }

        /** Checks the copies. */
        public Titles {
            if (copies.get(0) < 1 || copies.get(1) < copies.get(0)) {
                throw new IllegalArgumentException("titles.copies must be from 1 and in order");
            }
            for (long length : patternMs) {
                if (length < 100 || length > 60_000) {
                    throw new IllegalArgumentException("titles.patternMs must be from 100 to 60000");
                }
            }
        }
    }

    /**
     * A class of session, as the front's settings have it, and how it is asked for.
     *
     * @param share of new sessions
     * @param sessionMs length of a session: from, to
     */
    public record DayClass(
            @Range(min = 0, max = 1) double share,
            @Range(min = 2, max = 2) List<Double> sessionMs,
            @Range(min = 1) double aimMs,
            @Range(min = 100) double patienceMs,
            @Range(min = 0) double worth,
            @Default("false") boolean once,
            @Default("0") @Range(min = 0) int floor,
            @Default("63") @Range(min = 0) int top,
            @Default("1") @Range(min = 0.001) double scale,
            @Default("0") @Range(min = 0) int seats) {}

    /** The ladder of rates: kB a second, and worth. */
    public record Ladder(
            @Range(min = 1, max = 64) List<Double> kb,
            @Range(min = 1, max = 64) List<Double> worth) {}

    /** What boxes tell, as the front's settings have it. */
    public record Notes(
            @Range(min = 0) double lateMs,
            @Range(min = 100) double tellMs,
            @Range(min = 0) double stall,
            @Range(min = 0) double changeCostMs) {}

    /** Figures of the rules, as the front's settings have them. */
    public record Rules(
            @Default("5") int maxAttempts,
            @Default("2000") double maxRetryAfterMs,
            @Default("0.04") double crossZonePrice,
            @Default("250") double drainGraceMs,
            @Default("2") double fallMultiple,
            @Default("1500") double fallMs,
            @Default("null") Double spareAttempts,
            @Default("null") Double attemptShare,
            @Default("null") Double attemptWindowMs) {}

    /**
     * New sessions.
     *
     * @param perS a second, on the average
     * @param shape how they vary
     * @param swing of a wave: so much above and below
     * @param waveMs length of a wave
     */
    public record Arrivals(
            @Range(min = 0.01, max = 1000) double perS,
            @Default("\"steady\"") Shape shape,
            @Default("0.4") @Range(min = 0, max = 1) double swing,
            @Default("30000") @Range(min = 1000) double waveMs) {}

    /** How arrivals vary. */
    public enum Shape {
        STEADY,
        WAVE
    }

    /**
     * What viewers do.
     *
     * @param returns share that comes again after a break or refusal
     * @param returnMs so much later: from, to
     * @param tries at most
     * @param honour share that waits out Retry-After
     * @param leaves share that leaves while it waits for the answer
     * @param doubles share that sends its token on two connections at once
     * @param replays share that sends its token again on another connection once it plays
     * @param low share that can't use the upper rungs
     * @param frontNoticeMs goes on to a dead front for: from, to
     * @param bearable share of its rate under which a viewer begins to leave
     * @param waitForHall share whose devices, when their hall is cut off, try again the moment that it heals
     * @param neverReads share that asks and reads nothing
     * @param bola share whose players choose rungs by their buffer, the others by throughput
     */
    public record Viewers(
            @Default("0.9") @Range(min = 0, max = 1) double returns,

            @Default("[1200, 2700]") @Range(min = 2, max = 2)
            List<Double> returnMs,

            @Default("3") @Range(min = 1, max = 20) int tries,
            @Default("0.6") @Range(min = 0, max = 1) double honour,
            @Default("0.02") @Range(min = 0, max = 1) double leaves,
            @Default("0.02") @Range(min = 0, max = 1) double doubles,
            @Default("0") @Range(min = 0, max = 1) double replays,
            @Default("0.25") @Range(min = 0, max = 1) double low,

            @Default("[1100, 4000]") @Range(min = 2, max = 2)
            List<Double> frontNoticeMs,

            @Default("0.75") @Range(min = 0, max = 1) double bearable,
            @Default("0") @Range(min = 0, max = 1) double waitForHall,
            @Default("0") @Range(min = 0, max = 1) double neverReads,
            @Default("0.5") @Range(min = 0, max = 1) double bola) {}

    /**
     * Lateness of the list.
     *
     * @param noticeMs of what boxes say themselves: from, to
     * @param silentMs of boxes that went without a word: from, to
     */
    public record Registry(
            @Default("[600, 2500]") @Range(min = 2, max = 2) List<Double> noticeMs,

            @Default("[4000, 8000]") @Range(min = 2, max = 2)
            List<Double> silentMs) {}

    /**
     * Something that goes wrong.
     *
     * @param kind what
     * @param atMs when
     * @param forMs for how long
     * @param part of the boxes, fronts, halls or viewers; a multiple of arrivals for burst and hot_key
     */
    public record Trouble(
            Kind kind,
            @Range(min = 0) double atMs,
            @Default("5000") @Range(min = 1) double forMs,
            @Default("0.2") @Range(min = 0, max = 20) double part) {}

    /**
     * A flash crowd at a final whistle: a jump that dies away.
     *
     * @param atMs when
     * @param perS new sessions a second at its peak, on top of the others
     * @param fadeMs it falls to a third in this time
     * @param title number of the title that it is for
     */
    public record Flash(
            @Range(min = 0) double atMs,
            @Range(min = 0.01, max = 10_000) double perS,
            @Default("3000") @Range(min = 1) double fadeMs,
            @Default("0") @Range(min = 0) int title) {}

    /**
     * How far halls are from each other, one way.
     *
     * @param sameMs within one
     * @param crossMs between two
     */
    public record Distances(
            @Default("0.2") @Range(min = 0, max = 1000) double sameMs,
            @Default("1") @Range(min = 0, max = 1000) double crossMs) {}

    /** The same day with another number of fronts. */
    public Day withFronts(int number) {
        return new Day(
                seed, lengthMs, tailMs, byteScale, zones, number, boxes, titles, classes, ladder, notes, rules,
                arrivals, flashes, distances, viewers, registry, troubles);
    }

    /** The same day with other boxes. */
    public Day withBoxes(Boxes other) {
        return new Day(
                seed, lengthMs, tailMs, byteScale, zones, fronts, other, titles, classes, ladder, notes, rules,
                arrivals, flashes, distances, viewers, registry, troubles);
    }

    /** The same day with other notes. */
    public Day withNotes(Notes other) {
        return new Day(
                seed, lengthMs, tailMs, byteScale, zones, fronts, boxes, titles, classes, ladder, other, rules,
                arrivals, flashes, distances, viewers, registry, troubles);
    }

    /** The same day with other rules. */
    public Day withRules(Rules other) {
        return new Day(
                seed, lengthMs, tailMs, byteScale, zones, fronts, boxes, titles, classes, ladder, notes, other,
                arrivals, flashes, distances, viewers, registry, troubles);
    }

    /** The same day with another registry. */
    public Day withRegistry(Registry other) {
        return new Day(
                seed, lengthMs, tailMs, byteScale, zones, fronts, boxes, titles, classes, ladder, notes, rules,
                arrivals, flashes, distances, viewers, other, troubles);
    }

    /** Checks what fields must be to each other. */
    public Day {
        if (ladder.kb().size() != ladder.worth().size()) {
            throw new IllegalArgumentException("ladder.kb and ladder.worth must have the same length");
        }
        if (titles.copies().get(1) > boxes.count()) {
            throw new IllegalArgumentException("titles.copies must not be above boxes.count");
        }
        for (Flash flash : flashes) {
            if (flash.title() >= titles.count()) {
                throw new IllegalArgumentException("flashes: there is no title " + flash.title());
            }
        }
        double shares = classes.values().stream().mapToDouble(DayClass::share).sum();
        if (Math.abs(shares - 1) > 0.001) {
            throw new IllegalArgumentException("classes' shares must add up to 1, they give " + shares);
        }
    }
}
