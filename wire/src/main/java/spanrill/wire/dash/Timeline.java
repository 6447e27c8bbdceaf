package spanrill.wire.dash;

import java.util.ArrayList;
import java.util.List;

/**
 * The segments of a presentation from its beginning, without gaps, in ms: runs of segments of one length
 * (ISO/IEC 23009-1, 5.3.9.6, with a timescale of 1000).
 *
 * @param runs in order
 */
public record Timeline(List<Run> runs) {
    /** Runs that are written or read at most. */
    public static final int MAX_RUNS = 20_000;

    /**
     * Segments of one length.
     *
     * @param count how many
     * @param lengthMs length of each
     */
    public record Run(int count, long lengthMs) {
        /** Checks both. */
        public Run {
            if (count < 1 || lengthMs < 1) {
                throw new IllegalArgumentException("a run has segments, and they have a length");
            }
        }
    }

    /** Takes the runs; neighbours of the same length become one. */
    public Timeline {
        List<Run> joined = new ArrayList<>();
        for (Run run : runs) {
            Run last = joined.isEmpty() ? null : joined.get(joined.size() - 1);
            if (last != null && last.lengthMs() == run.lengthMs()) {
                joined.set(joined.size() - 1, new Run(last.count() + run.count(), run.lengthMs()));
            } else {
                joined.add(run);
            }
        }
        if (joined.isEmpty()) {
            throw new IllegalArgumentException("a presentation has at least one segment");
        }
        runs = List.copyOf(joined);
    }

    /** Segments of one length, the last one cut off at the end of the presentation. */
    public static Timeline uniform(long durationMs, long segmentMs) {
        return repeating(durationMs, List.of(segmentMs));
    }

    /** Segments whose lengths repeat a pattern, the last one cut off at the end of the presentation. */
    public static Timeline repeating(long durationMs, List<Long> patternMs) {
        if (durationMs < 1 || patternMs.isEmpty()) {
            throw new IllegalArgumentException("a presentation has a length, and so have its segments");
        }
        List<Run> runs = new ArrayList<>();
        if (patternMs.size() == 1) {
            long whole = durationMs / patternMs.get(0);
            if (whole > 0) {
                runs.add(new Run(Math.toIntExact(whole), patternMs.get(0)));
            }
            if (durationMs % patternMs.get(0) > 0) {
                runs.add(new Run(1, durationMs % patternMs.get(0)));
            }
            return new Timeline(runs);
        }
        int next = 0;
        for (long left = durationMs; left > 0; ) {
            long length = Math.min(left, patternMs.get(next++ % patternMs.size()));
            runs.add(new Run(1, length));
            left -= length;
        }
        return new Timeline(runs);
    }

    /** True when all segments but the last have one length, and the last is not longer. */
    public boolean isUniform() {
        return runs.size() == 1
                || (runs.size() == 2
                        && runs.get(1).count() == 1
                        && runs.get(1).lengthMs() < runs.get(0).lengthMs());
    }

    /** Segments. */
    public int segmentCount() {
        return runs.stream().mapToInt(Run::count).sum();
    }

    /** Length of them all. */
    public long durationMs() {
        return runs.stream().mapToLong(run -> run.count() * run.lengthMs()).sum();
    }

    /** Length of a segment by its number, from 1; 0 when there is none of that number. */
    public long segmentLengthMs(int number) {
        int left = number;
        for (Run run : runs) {
            if (left >= 1 && left <= run.count()) {
                return run.lengthMs();
            }
            left -= run.count();
        }
        return 0;
    }
}
