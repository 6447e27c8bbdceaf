package spanrill.wire.dash;

import java.util.ArrayList;
import java.util.List;

/**
 * The segments of a presentation from its start without gaps, as runs of segments of the same duration (ISO/IEC
 * 23009-1, 5.3.9.6, with a timescale of 1000).
 *
 * @param runs runs in order of presentation
 */
public record Timeline(List<Run> runs) {
    /** Maximum number of runs in a document that is read. */
    public static final int MAX_RUNS = 20_000;

    /**
     * Consecutive segments of the same duration.
     *
     * @param count number of segments, at least 1
     * @param lengthMs duration of each segment in ms, at least 1
     */
    public record Run(int count, long lengthMs) {
        /** Validates the components. */
        public Run {
            if (count < 1 || lengthMs < 1) {
                throw new IllegalArgumentException("a run needs at least one segment of at least 1 ms");
            }
        }
    }

    /** Creates a timeline; adjacent runs of the same segment duration are merged. */
    public Timeline {
        List<Run> merged = new ArrayList<>();
        for (Run run : runs) {
            Run last = merged.isEmpty() ? null : merged.get(merged.size() - 1);
            if (last != null && last.lengthMs() == run.lengthMs()) {
                merged.set(merged.size() - 1, new Run(last.count() + run.count(), run.lengthMs()));
            } else {
                merged.add(run);
            }
        }
        if (merged.isEmpty()) {
            throw new IllegalArgumentException("a timeline needs at least one segment");
        }
        runs = List.copyOf(merged);
    }

    /** Creates segments of the same duration; the last one is shortened to the end of the presentation. */
    public static Timeline uniform(long durationMs, long segmentMs) {
        return repeating(durationMs, List.of(segmentMs));
    }

    /** Creates segments whose durations repeat a pattern; the last one is shortened to the end of the presentation. */
    public static Timeline repeating(long durationMs, List<Long> patternMs) {
        if (durationMs < 1 || patternMs.isEmpty()) {
            throw new IllegalArgumentException("the duration must be at least 1 ms and the segment pattern not empty");
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
        for (long remaining = durationMs; remaining > 0; ) {
            long length = Math.min(remaining, patternMs.get(next++ % patternMs.size()));
            runs.add(new Run(1, length));
            remaining -= length;
        }
        return new Timeline(runs);
    }

    /** Returns whether all segments but the last have the same duration and the last is not longer. */
    public boolean isUniform() {
        return runs.size() == 1
                || (runs.size() == 2
                        && runs.get(1).count() == 1
                        && runs.get(1).lengthMs() < runs.get(0).lengthMs());
    }

    /** Returns the number of segments. */
    public int segmentCount() {
        return runs.stream().mapToInt(Run::count).sum();
    }

    /** Returns the total duration in ms. */
    public long durationMs() {
        return runs.stream().mapToLong(run -> run.count() * run.lengthMs()).sum();
    }

    /** Returns the duration in ms of the segment with a number, counted from 1; 0 when there is no such segment. */
    public long segmentLengthMs(int number) {
        int remaining = number;
        for (Run run : runs) {
            if (remaining >= 1 && remaining <= run.count()) {
                return run.lengthMs();
            }
            remaining -= run.count();
        }
        return 0;
    }
}
