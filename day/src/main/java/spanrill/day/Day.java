package spanrill.day;

import java.util.List;
import java.util.Map;
import spanrill.model.trouble.Kind;
import spanrill.settings.Default;
import spanrill.settings.Range;

/**
 * Contents of a day file, which describes a day for rehearsals and the emulator.
 *
 * @param seed seed of all random draws
 * @param lengthMs time during which viewers arrive, in ms
 * @param tailMs time for which the run continues after the last arrivals, in ms
 * @param byteScale share of the media bytes that is actually sent over sockets
 * @param zones names of the halls
 * @param fronts number of fronts, assigned to the halls round-robin
 * @param boxes replay boxes
 * @param titles titles
 * @param classes session classes by name
 * @param ladder ladder of rungs
 * @param notes notes of boxes to fronts
 * @param rules parameters of the rules of the front
 * @param arrivals ordinary arrivals of viewers
 * @param flashes flash crowds
 * @param distances latency between halls
 * @param viewers behaviour of viewers
 * @param registry delays of the registry
 * @param troubles injected troubles
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
     * @param count number of boxes
     * @param racks number of racks
     * @param places maximum number of streams on a box
     * @param linkKb mean link capacity of a box in kB per second
     * @param linkSpread maximum relative deviation of a link capacity from the mean
     * @param uplinkShare mean uplink capacity of a rack relative to the sum of its link capacities
     * @param uplinkSpread maximum relative deviation of an uplink capacity from the mean
     * @param setUpMs mean duration of a set-up on a warm box, in ms
     * @param coldMs time from the start of a box until it is warm, in ms
     * @param coldShare speed of a box at its start, as a share of its speed when warm
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
     * @param count number of titles
     * @param zipf exponent of the Zipf distribution of their popularity
     * @param copies minimum and maximum number of cells that hold a title
     * @param durationMs duration of a title in ms
     * @param segmentMs duration of a segment in ms
     * @param patternMs durations of consecutive segments in ms, repeated cyclically; if empty, all segments last
     *     {@code segmentMs}
     * @param audioKb rate of a separate audio track in kB per second, taken from the session's rate; 0 for no separate
     *     track
     */
    public record Titles(
            @Range(min = 1, max = 10_000) int count,
            @Default("0.8") @Range(min = 0, max = 4) double zipf,
            @Range(min = 2, max = 2) List<Integer> copies,
            @Default("600000") @Range(min = 1000) long durationMs,
            @Default("1000") @Range(min = 100, max = 60_000) long segmentMs,
            @Default("[]") @Range(max = 1000) List<Long> patternMs,
            @Default("0") @Range(min = 0, max = 1e6) double audioKb) {
        /** Returns the durations of consecutive segments in ms, to be repeated cyclically. */
        public List<Long> segmentLengthsMs() {
            return patternMs.isEmpty() ? List.of(segmentMs) : patternMs;
        }

        /** Checks the copies and the segment durations. */
        public Titles {
            if (copies.get(0) < 1 || copies.get(1) < copies.get(0)) {
                throw new IllegalArgumentException("titles.copies must be [min, max] with 1 <= min <= max");
            }
            for (long length : patternMs) {
                if (length < 100 || length > 60_000) {
                    throw new IllegalArgumentException(
                            "each duration in titles.patternMs must be from 100 to 60000 ms");
                }
            }
        }
    }

    /**
     * A session class: the settings of the front for it and its demand.
     *
     * @param share share of the arriving viewers who request this class
     * @param sessionMs minimum and maximum duration of a session in ms
     * @param aimMs target time from the request until the session plays, in ms
     * @param patienceMs time for which a viewer waits for an answer, in ms
     * @param worth worth of a session
     * @param once whether the set-up is paid for, so that it must not run twice
     * @param floor lowest rung
     * @param top highest rung
     * @param scale factor on the rates of the ladder
     * @param seats maximum number of sessions of one title on a front; 0 for no limit
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

    /** Rates of the rungs in kB per second, and their worth. */
    public record Ladder(
            @Range(min = 1, max = 64) List<Double> kb,
            @Range(min = 1, max = 64) List<Double> worth) {}

    /** Notes of boxes, as in the settings of the front. */
    public record Notes(
            @Range(min = 0) double lateMs,
            @Range(min = 100) double tellMs,
            @Range(min = 0) double stall,
            @Range(min = 0) double changeCostMs) {}

    /** Parameters of the placement rules. The fronts get them as settings; the checks use several as limits. */
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
     * Ordinary arrivals of viewers.
     *
     * @param perS mean number of arrivals per second
     * @param shape how the rate varies over time
     * @param swing relative amplitude of a wave
     * @param waveMs period of a wave in ms
     */
    public record Arrivals(
            @Range(min = 0.01, max = 1000) double perS,
            @Default("\"steady\"") Shape shape,
            @Default("0.4") @Range(min = 0, max = 1) double swing,
            @Default("30000") @Range(min = 1000) double waveMs) {}

    /** How the arrival rate varies over time. */
    public enum Shape {
        STEADY,
        WAVE
    }

    /**
     * Behaviour of viewers. A share is the share of viewers with that behaviour.
     *
     * @param returns probability of a retry after a refusal or a lost session
     * @param returnMs minimum and maximum base delay of a retry in ms
     * @param tries maximum number of session requests of a viewer
     * @param honour share that waits at least for the time in Retry-After
     * @param leaves share that leaves while waiting for an answer
     * @param doubles share that sends its token on two connections at once
     * @param replays share that sends its token on another connection after the session starts to play
     * @param low share that cannot use the upper rungs
     * @param frontNoticeMs minimum and maximum time in ms for which a viewer keeps using a stopped front
     * @param bearable share of the media rate; when less is delivered, a viewer may leave
     * @param waitForHall share whose devices wait while their hall is isolated and retry as soon as it is reachable
     * @param neverReads share that requests segments and never reads them
     * @param bola share whose players select rungs by buffer level (BOLA); the others select by throughput
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
     * Delays of the registry's box list.
     *
     * @param noticeMs minimum and maximum delay in ms of changes that boxes announce
     * @param silentMs minimum and maximum delay in ms until the loss of an unresponsive box is listed
     */
    public record Registry(
            @Default("[600, 2500]") @Range(min = 2, max = 2) List<Double> noticeMs,

            @Default("[4000, 8000]") @Range(min = 2, max = 2)
            List<Double> silentMs) {}

    /**
     * A trouble to inject.
     *
     * @param kind kind of trouble
     * @param atMs start, in ms from the start of the day
     * @param forMs duration in ms
     * @param part share of the boxes, racks or fronts that are affected; for burst and hot_key the additional arrivals
     *     as a multiple of the ordinary arrival rate
     */
    public record Trouble(
            Kind kind,
            @Range(min = 0) double atMs,
            @Default("5000") @Range(min = 1) double forMs,
            @Default("0.2") @Range(min = 0, max = 20) double part) {}

    /**
     * A flash crowd, as at the final whistle of a match: the arrival rate jumps and then decays exponentially.
     *
     * @param atMs start, in ms from the start of the day
     * @param perS additional arrivals per second at the peak
     * @param fadeMs time constant of the decay in ms: the rate falls to about a third in this time
     * @param title number of the title that these viewers request
     */
    public record Flash(
            @Range(min = 0) double atMs,
            @Range(min = 0.01, max = 10_000) double perS,
            @Default("3000") @Range(min = 1) double fadeMs,
            @Default("0") @Range(min = 0) int title) {}

    /**
     * One-way latency between halls.
     *
     * @param sameMs latency within a hall in ms
     * @param crossMs latency between two halls in ms
     */
    public record Distances(
            @Default("0.2") @Range(min = 0, max = 1000) double sameMs,
            @Default("1") @Range(min = 0, max = 1000) double crossMs) {}

    /** Returns a copy of this day with another number of fronts. */
    public Day withFronts(int count) {
        return new Day(
                seed, lengthMs, tailMs, byteScale, zones, count, boxes, titles, classes, ladder, notes, rules, arrivals,
                flashes, distances, viewers, registry, troubles);
    }

    /** Returns a copy of this day with other boxes. */
    public Day withBoxes(Boxes newBoxes) {
        return new Day(
                seed, lengthMs, tailMs, byteScale, zones, fronts, newBoxes, titles, classes, ladder, notes, rules,
                arrivals, flashes, distances, viewers, registry, troubles);
    }

    /** Returns a copy of this day with other notes. */
    public Day withNotes(Notes newNotes) {
        return new Day(
                seed, lengthMs, tailMs, byteScale, zones, fronts, boxes, titles, classes, ladder, newNotes, rules,
                arrivals, flashes, distances, viewers, registry, troubles);
    }

    /** Returns a copy of this day with other rules. */
    public Day withRules(Rules newRules) {
        return new Day(
                seed, lengthMs, tailMs, byteScale, zones, fronts, boxes, titles, classes, ladder, notes, newRules,
                arrivals, flashes, distances, viewers, registry, troubles);
    }

    /** Returns a copy of this day with other registry settings. */
    public Day withRegistry(Registry newRegistry) {
        return new Day(
                seed,
                lengthMs,
                tailMs,
                byteScale,
                zones,
                fronts,
                boxes,
                titles,
                classes,
                ladder,
                notes,
                rules,
                arrivals,
                flashes,
                distances,
                viewers,
                newRegistry,
                troubles);
    }

    /** Checks constraints between fields. */
    public Day {
        if (ladder.kb().size() != ladder.worth().size()) {
            throw new IllegalArgumentException("ladder.kb and ladder.worth must have the same length");
        }
        if (titles.copies().get(1) > boxes.count()) {
            throw new IllegalArgumentException("titles.copies must not exceed boxes.count");
        }
        for (Flash flash : flashes) {
            if (flash.title() >= titles.count()) {
                throw new IllegalArgumentException("flashes: title does not exist: " + flash.title());
            }
        }
        double shares = classes.values().stream().mapToDouble(DayClass::share).sum();
        if (Math.abs(shares - 1) > 0.001) {
            throw new IllegalArgumentException("the shares of all classes must add up to 1, but the sum is " + shares);
        }
    }
}
