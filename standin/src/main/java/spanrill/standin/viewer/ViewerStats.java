package spanrill.standin.viewer;

import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Statistics of all viewers of a day. Thread-safe. */
public final class ViewerStats {
    /** Requests for a session that were sent. */
    public final LongAdder requests = new LongAdder();
    /** Requests answered with "plays". */
    public final LongAdder plays = new LongAdder();
    /** Requests answered with "refused". */
    public final LongAdder refused = new LongAdder();
    /** Requests answered with "failed". */
    public final LongAdder failed = new LongAdder();
    /** Connections that could not be opened or were lost before the answer. */
    public final LongAdder connectionsLost = new LongAdder();
    /** Sessions that played to their end. */
    public final LongAdder sessionsFinished = new LongAdder();
    /** Sessions that the viewer abandoned because the rate was too low. */
    public final LongAdder sessionsAbandoned = new LongAdder();
    /** Requests repeated after a refusal or the loss of a session. */
    public final LongAdder retries = new LongAdder();
    /** Stalls of all players. */
    public final LongAdder stalls = new LongAdder();
    /** Video segments read. */
    public final LongAdder segments = new LongAdder();
    /** Bytes of the segments read. */
    public final LongAdder mediaBytes = new LongAdder();
    /** Time played, ms. */
    public final LongAdder playedMs = new LongAdder();
    /** Time stalled, ms. */
    public final LongAdder stalledMs = new LongAdder();
    /** Sum of the rungs of all segments read. */
    public final LongAdder rungSum = new LongAdder();
    /** Time from the request to the answer "plays", microseconds. */
    public final Histogram setUpMicros = new ConcurrentHistogram(60_000_000, 3);
    /** Delay of arrivals after their planned time, microseconds. */
    public final Histogram arrivalDelayMicros = new ConcurrentHistogram(60_000_000, 3);

    /** Counts an answer by its word in the header field spanrill-answer. */
    void count(String answer) {
        switch (answer) {
            case "plays" -> plays.increment();
            case "refused" -> refused.increment();
            case "failed" -> failed.increment();
            // Any other word, such as "none", is not counted; the trace records every answer.
            default -> {}
        }
    }
}
