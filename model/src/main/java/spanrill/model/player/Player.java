package spanrill.model.player;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.model.RandomStreams;

/**
 * State machine of one viewer and its player, from the first request to the end. The caller reports events and performs
 * the returned {@link Action}, on sockets or in virtual time.
 */
public final class Player {
    private static final double MAX_BUFFER_MS = 4000;
    private static final double START_BUFFER_MS = 1;
    private static final double RESUME_BUFFER_MS = 1500;
    private static final int THROUGHPUT_WINDOW_SEGMENTS = 5;
    private static final double THROUGHPUT_SAFETY_FACTOR = 0.9;
    /** No further session is requested when less than this would remain of the planned viewing time. */
    private static final double MIN_REMAINING_MS = 1000;

    /** What the caller has to do next. */
    public sealed interface Action {
        /** Request a session after {@code afterMs}, with a new token unless the last request was refused. */
        record Request(double afterMs, boolean newToken) implements Action {}

        /** Fetch a segment after {@code afterMs}: number from 1, rung as an index in the offered ladder. */
        record Fetch(double afterMs, int number, int rung) implements Action {}

        /** Release the session. */
        record End(boolean lostPatience) implements Action {}

        /** Send no further requests: the viewer is finished. */
        record Done() implements Action {}
    }

    private final ViewerTraits traits;
    private final RetryPolicy retryPolicy;
    private final AbandonmentModel abandonment;
    private final RungSelector rungSelector;
    private final double endMs;
    private int requestCount;
    private List<Long> ladder = List.of();
    private double segmentMs;
    private int segmentCount;
    private PlaybackBuffer buffer;
    private ThroughputMeter throughput;
    private int segmentNumber;
    private double fetchStartedMs;
    private double playedMs;
    private double stalledMs;
    private double longestStallMs;
    private int stalls;

    /** Creates a player that arrives at {@code now}; {@code returnMs} is the range of the base delay of retries. */
    public Player(ViewerTraits traits, double now, List<Double> returnMs) {
        this.traits = traits;
        UniformRandomProvider random = RandomStreams.of(traits.seed());
        retryPolicy = new RetryPolicy(traits, random, returnMs.get(0), returnMs.get(1));
        abandonment = new AbandonmentModel(traits.minBearableShare(), random);
        rungSelector = traits.usesBola() ? RungSelector.bola() : RungSelector.throughput(THROUGHPUT_SAFETY_FACTOR);
        endMs = now + traits.watchMs();
    }

    /** Returns the traits of the viewer. */
    public ViewerTraits traits() {
        return traits;
    }

    /** Returns the number of session requests sent. */
    public int requestCount() {
        return requestCount;
    }

    /** Records that a session request is sent. */
    public void onRequestSent() {
        requestCount++;
    }

    /** Handles a refused request. */
    public Action onRefused(double now, double retryAfterMs) {
        return retry(now, true, retryAfterMs, false);
    }

    /**
     * Handles the loss of the connection or the session.
     *
     * @param mayRetry false for a paid request without an answer, which must not be repeated
     */
    public Action onConnectionLost(double now, boolean mayRetry) {
        endPlayback(now);
        return mayRetry ? retry(now, false, 0, true) : new Action.Done();
    }

    /** Handles the end of a session that the viewer ended because of bad quality; most such viewers request again. */
    public Action onGaveUp(double now) {
        return retry(now, false, 0, true);
    }

    private Action retry(double now, boolean refused, double retryAfterMs, boolean newToken) {
        double delayMs = retryPolicy.nextDelayMs(requestCount, refused, retryAfterMs);
        return delayMs < 0 || now + delayMs > endMs - MIN_REMAINING_MS
                ? new Action.Done()
                : new Action.Request(delayMs, newToken);
    }

    /** Handles a received MPD: the session plays. */
    public Action onPlaying(double now, List<Long> offeredLadder, double nominalSegmentMs, int totalSegments) {
        retryPolicy.onPlaying();
        ladder = offeredLadder;
        segmentMs = nominalSegmentMs;
        segmentCount = totalSegments;
        buffer = new PlaybackBuffer(START_BUFFER_MS, RESUME_BUFFER_MS, now);
        throughput = new ThroughputMeter(THROUGHPUT_WINDOW_SEGMENTS);
        segmentNumber = 0;
        return nextSegment(now);
    }

    /** Replaces the offered ladder. */
    public void onLadderChanged(List<Long> newLadder) {
        ladder = newLadder;
    }

    /** Records that the fetch of a segment starts. */
    public void onFetchStarted(double now) {
        fetchStartedMs = now;
    }

    /**
     * Handles a completely received segment.
     *
     * @param bits size of the segment in bits, all tracks together
     * @param lengthMs media duration of the segment in ms
     */
    public Action onSegmentReceived(double now, double bits, double lengthMs) {
        double durationMs = now - fetchStartedMs;
        throughput.addSegment(bits, durationMs);
        buffer.add(now, lengthMs);
        if (abandonment.leaves(now, durationMs <= 0 ? 1 : lengthMs / durationMs, buffer.stallMs())) {
            endPlayback(now);
            return new Action.End(true);
        }
        return nextSegment(now);
    }

    /** Handles a completely received segment of nominal duration. */
    public Action onSegmentReceived(double now, double bits) {
        return onSegmentReceived(now, bits, segmentMs);
    }

    /** Checks periodically during a fetch whether the viewer still waits. Returns null if so, else the next action. */
    public Action checkPatience(double now) {
        buffer.advance(now);
        if (buffer.stallMs() > 0 && abandonment.leaves(now, 0, buffer.stallMs())) {
            endPlayback(now);
            return new Action.End(true);
        }
        return null;
    }

    private Action nextSegment(double now) {
        buffer.advance(now);
        if (now >= endMs || segmentNumber >= segmentCount) {
            endPlayback(now);
            return new Action.End(false);
        }
        segmentNumber++;
        int rung = rungSelector.selectRung(
                new RungSelector.State(ladder, buffer.heldMs(), MAX_BUFFER_MS, segmentMs, throughput.bitsPerS()));
        double waitMs = Math.max(0, buffer.heldMs() + segmentMs - MAX_BUFFER_MS);
        return new Action.Fetch(waitMs, segmentNumber, rung);
    }

    /** Adds the playback statistics of the current session to the totals and discards the buffer. */
    private void endPlayback(double now) {
        if (buffer != null) {
            buffer.advance(now);
            playedMs += buffer.playedMs();
            stalledMs += buffer.stalledMs();
            longestStallMs = Math.max(longestStallMs, buffer.longestStallMs());
            stalls += buffer.stalls();
            buffer = null;
        }
    }

    /** Returns the played time in ms, summed over the ended sessions. */
    public double playedMs() {
        return playedMs;
    }

    /** Returns the stalled time in ms, summed over the ended sessions. */
    public double stalledMs() {
        return stalledMs;
    }

    /** Returns the duration of the longest stall in ms in the ended sessions. */
    public double longestStallMs() {
        return longestStallMs;
    }

    /** Returns the number of stalls in the ended sessions. */
    public int stalls() {
        return stalls;
    }
}
