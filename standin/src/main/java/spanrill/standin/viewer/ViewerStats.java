package spanrill.standin.viewer;

import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** What a crowd met with. Safe from any thread. */
public final class ViewerStats {
    /** Requests written. */
    public final LongAdder requests = new LongAdder();
    /** Answered: plays. */
    public final LongAdder plays = new LongAdder();
    /** Answered: refused. */
    public final LongAdder refused = new LongAdder();
    /** Answered: failed. */
    public final LongAdder failed = new LongAdder();
    /** Connections that could not be had, or were lost. */
    public final LongAdder connectionsLost = new LongAdder();
    /** Sessions played to their end. */
    public final LongAdder sessionsFinished = new LongAdder();
    /** Left for want of rate. */
    public final LongAdder sessionsAbandoned = new LongAdder();
    /** Came again after a refusal or a break. */
    public final LongAdder retries = new LongAdder();
    /** Stalls. */
    public final LongAdder stalls = new LongAdder();
    /** Segments read. */
    public final LongAdder segments = new LongAdder();
    /** Bytes of media read. */
    public final LongAdder mediaBytes = new LongAdder();
    /** Milliseconds played. */
    public final LongAdder playedMs = new LongAdder();
    /** Milliseconds stalled. */
    public final LongAdder stalledMs = new LongAdder();
    /** Sum of rungs over segments. */
    public final LongAdder rungSum = new LongAdder();
    /** Time from request to "plays", microseconds. */
    public final Histogram setUpMicros = new ConcurrentHistogram(60_000_000, 3);
    /** How late arrivals were sent, microseconds. */
    public final Histogram arrivalDelayMicros = new ConcurrentHistogram(60_000_000, 3);

    /** Counts an answer. */
    void count(String answer) {
        switch (answer) {
            case "plays" -> plays.increment();
            case "refused" -> refused.increment();
            case "failed" -> failed.increment();
            // Never taken: the records tell.
            default -> {}
        }
    }
}
