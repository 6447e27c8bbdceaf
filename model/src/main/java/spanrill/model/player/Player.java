package spanrill.model.player;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.model.RandomStreams;

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
    public sealed interface Action {
        /** Ask for a session after so long; a new token unless the last one was refused. */
        record Request(double afterMs, boolean newToken) implements Action {}

        /** Fetch a segment after so long: number from 1, rung as an index of the ladder offered. */
        record Fetch(double afterMs, int number, int rung) implements Action {}

        /** End the session in order. */
        record End(boolean lostPatience) implements Action {}

        /** Nothing more. */
        record Done() implements Action {}
    }

    private final ViewerTraits traits;
    private final RetryPolicy returning;
    private final AbandonmentModel abandonment;
    private final RungSelector rule;
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
    public Player(ViewerTraits traits, double now, List<Double> returnMs) {
        this.traits = traits;
        UniformRandomProvider random = RandomStreams.of(traits.seed());
        returning = new RetryPolicy(traits, random, returnMs.get(0), returnMs.get(1));
        abandonment = new AbandonmentModel(traits.minBearableShare(), random);
        rule = traits.usesBola() ? RungSelector.bola() : RungSelector.throughput(PART);
        endsAt = now + traits.watchMs();
    }

    /** Its traits. */
    public ViewerTraits traits() {
        return traits;
    }

    /** Requests made. */
    public int requestCount() {
        return tries;
    }

    /** It asks now. */
    public void onRequestSent() {
        tries++;
    }

    /** Turned away. */
    public Action onRefused(double now, double retryAfterMs) {
        return again(now, true, retryAfterMs, false);
    }

    /** The connection, or the session, was lost; a paid request that had no answer is not made again. */
    public Action onConnectionLost(double now, boolean mayAskAgain) {
        leaveBuffer(now);
        return mayAskAgain ? again(now, false, 0, true) : new Action.Done();
    }

    /** It left for want of rate; most who did so ask again. */
    public Action onGaveUp(double now) {
        return again(now, false, 0, true);
    }

    private Action again(double now, boolean refused, double retryAfterMs, boolean newToken) {
        double wait = returning.nextDelayMs(tries, refused, retryAfterMs);
        return wait < 0 || now + wait > endsAt - WORTH_MS ? new Action.Done() : new Action.Request(wait, newToken);
    }

    /** It plays: an MPD came. */
    public Action onPlaying(double now, List<Long> offered, double lengthOfSegmentMs, int numberOfSegments) {
        returning.onPlaying();
        ladder = offered;
        segmentMs = lengthOfSegmentMs;
        segments = numberOfSegments;
        buffer = new PlaybackBuffer(START_MS, AGAIN_MS, now);
        meter = new ThroughputMeter(METER_SEGMENTS);
        number = 0;
        return next(now);
    }

    /** The rungs offered changed. */
    public void onLadderChanged(List<Long> now) {
        ladder = now;
    }

    /** A fetch begins now. */
    public void onFetchStarted(double now) {
        askedAt = now;
    }

    /**
     * A segment came whole.
     *
     * @param bits its length, all tracks together
     * @param lengthMs how long it plays
     */
    public Action onSegmentReceived(double now, double bits, double lengthMs) {
        double took = now - askedAt;
        meter.addSegment(bits, took);
        buffer.add(now, lengthMs);
        if (abandonment.leaves(now, took <= 0 ? 1 : lengthMs / took, buffer.stallMs())) {
            leaveBuffer(now);
            return new Action.End(true);
        }
        return next(now);
    }

    /** A segment of the usual length came whole. */
    public Action onSegmentReceived(double now, double bits) {
        return onSegmentReceived(now, bits, segmentMs);
    }

    /** A segment is under way; asked from time to time. Null: go on. */
    public Action checkPatience(double now) {
        buffer.advance(now);
        if (buffer.stallMs() > 0 && abandonment.leaves(now, 0, buffer.stallMs())) {
            leaveBuffer(now);
            return new Action.End(true);
        }
        return null;
    }

    private Action next(double now) {
        buffer.advance(now);
        if (now >= endsAt || number >= segments) {
            leaveBuffer(now);
            return new Action.End(false);
        }
        number++;
        int rung = rule.selectRung(
                new RungSelector.State(ladder, buffer.heldMs(), BUFFER_MS, segmentMs, meter.bitsPerS()));
        double wait = Math.max(0, buffer.heldMs() + segmentMs - BUFFER_MS);
        return new Action.Fetch(wait, number, rung);
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
