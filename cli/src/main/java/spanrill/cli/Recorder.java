package spanrill.cli;

import java.util.function.LongSupplier;
import spanrill.results.CountRow;
import spanrill.results.ParquetRows;
import spanrill.standin.viewer.ViewerStats;

/** Writes down each second what a crowd met with in it. */
final class Recorder {
    private final ViewerStats stats;
    private final LongSupplier playing;
    private final ParquetRows<CountRow> rows;
    private long[] before = new long[6];
    private int second;

    Recorder(ViewerStats stats, LongSupplier playing, ParquetRows<CountRow> rows) {
        this.stats = stats;
        this.playing = playing;
        this.rows = rows;
    }

    void second() {
        long[] now = {
            stats.requests.sum(),
            stats.plays.sum(),
            stats.refused.sum(),
            stats.failed.sum(),
            stats.retries.sum(),
            stats.stalledMs.sum()
        };
        rows.add(new CountRow(
                ++second,
                now[0] - before[0],
                now[1] - before[1],
                now[2] - before[2],
                now[3] - before[3],
                now[4] - before[4],
                playing.getAsLong(),
                now[5] - before[5]));
        before = now;
    }
}
