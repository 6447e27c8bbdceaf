package spanrill.model.player;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.model.Draws;

/**
 * One viewer with its player, from the first request to the end. It is told what happened and says what to do
 * next; whoever drives it does that on sockets or in virtual time.
 */
public final class Player {
    private static final double BUFFER_MS = 4000;
    private static final double START_MS = 1;
    private static final double AGAIN_MS = 1500;
    private static final int METER_SEGMENTS = 5;
    private static final double PART = 0.9;
    // A session shorter than this is not worth another request.
    private static final double WORTH_MS = 1000;

    /** What to do next. */
    public sealed interface Next {
        /** Ask for a session after so long; a new token unless the last one was refused. */
        record Ask(double afterMs, boolean newToken) implements Next {}

        /** Fetch a segment after so long: number from 1, rung as an index of the ladder offered. */
        record Fetch(double afterMs, int number, int rung) implements Next {}

        /** End the session in order. */
        record End(boolean lostPatience) implements Next {}

        /** Nothing more. */
        record Done() implements Next {}
    }

    private final Traits traits;
    private final Returning returning;
    private final Abandonment abandonment;
    private final RateRule rule;
    private final double endsAt;
    private int tries;
    private List<Long> ladder = List.of();
    private double segmentMs;
    private int segments;
    private PlaybackBuffer buffer;
    private ThroughputMeter meter;
    private int number;
    private double askedAt;
    private double playedMs;
    private double stalledMs;
    private double longestStallMs;
    private int stalls;

    /** A player that comes now; it returns after waits drawn from the range. */
    public Player(Traits traits, double now, List<Double> returnMs) {
        this.traits = traits;
        UniformRandomProvider random = Draws.of(traits.seed());
        returning = new Returning(traits, random, returnMs.get(0), returnMs.get(1));
        abandonment = new Abandonment(traits.bearable(), random);
        rule = traits.bola() ? RateRule.bola() : RateRule.throughput(PART);
        endsAt = now + traits.watchMs();
    }

    /** Its traits. */
    public Traits traits() {
        return traits;
    }

    /** Requests made. */
    public int tries() {
        return tries;
    }

    /** It asks now. */
    public void asks() {
        tries++;
    }

    /** Turned away. */
    public Next refused(double now, double retryAfterMs) {
        return again(now, true, retryAfterMs, false);
    }

    /** The connection, or the session, was lost; a paid request that had no answer is not made again. */
    public Next lost(double now, boolean mayAskAgain) {
        leaveBuffer(now);
        return mayAskAgain ? again(now, false, 0, true) : new Next.Done();
    }

    /** It left for want of rate; most who did so ask again. */
    public Next gaveUp(double now) {
        return again(now, false, 0, true);
    }

    private Next again(double now, boolean refused, double retryAfterMs, boolean newToken) {
        double wait = returning.wait(tries, refused, retryAfterMs);
        return wait < 0 || now + wait > endsAt - WORTH_MS ? new Next.Done() : new Next.Ask(wait, newToken);
    }

    /** It plays: an MPD came. */
    public Next plays(double now, List<Long> offered, double lengthOfSegmentMs, int numberOfSegments) {
        returning.plays();
        ladder = offered;
        segmentMs = lengthOfSegmentMs;
        segments = numberOfSegments;
        buffer = new PlaybackBuffer(START_MS, AGAIN_MS, now);
        meter = new ThroughputMeter(METER_SEGMENTS);
        number = 0;
        return next(now);
    }

    /** The rungs offered changed. */
    public void offered(List<Long> now) {
        ladder = now;
    }

    /** A fetch begins now. */
    public void fetches(double now) {
        askedAt = now;
    }

    /**
     * A segment came whole.
     *
     * @param bits its length, all tracks together
     * @param lengthMs how long it plays
     */
    public Next segment(double now, double bits, double lengthMs) {
        double took = now - askedAt;
        meter.segment(bits, took);
        buffer.add(now, lengthMs);
        if (abandonment.leaves(now, took <= 0 ? 1 : lengthMs / took, buffer.stallMs())) {
            leaveBuffer(now);
            return new Next.End(true);
        }
        return next(now);
    }

    /** A segment of the usual length came whole. */
    public Next segment(double now, double bits) {
        return segment(now, bits, segmentMs);
    }

    /** A segment is under way; asked from time to time. Null: go on. */
    public Next waits(double now) {
        buffer.advance(now);
        if (buffer.stallMs() > 0 && abandonment.leaves(now, 0, buffer.stallMs())) {
            leaveBuffer(now);
            return new Next.End(true);
        }
        return null;
    }

    private Next next(double now) {
        buffer.advance(now);
        if (now >= endsAt || number >= segments) {
            leaveBuffer(now);
            return new Next.End(false);
        }
        number++;
        int rung = rule.choose(new RateRule.View(ladder, buffer.heldMs(), BUFFER_MS, segmentMs, meter.bitsPerS()));
        double wait = Math.max(0, buffer.heldMs() + segmentMs - BUFFER_MS);
        return new Next.Fetch(wait, number, rung);
    }

    /** Adds up what this session came to. */
    private void leaveBuffer(double now) {
        if (buffer != null) {
            buffer.advance(now);
            playedMs += buffer.playedMs();
            stalledMs += buffer.stalledMs();
            longestStallMs = Math.max(longestStallMs, buffer.longestStallMs());
            stalls += buffer.stalls();
            buffer = null;
        }
    }

    /** Played so far, in sessions that are over. */
    public double playedMs() {
        return playedMs;
    }

    /** Stalled so far, in sessions that are over. */
    public double stalledMs() {
        return stalledMs;
    }

    /** The longest stall, in sessions that are over. */
    public double longestStallMs() {
        return longestStallMs;
    }

    /** Stalls, in sessions that are over. */
    public int stalls() {
        return stalls;
    }
}
