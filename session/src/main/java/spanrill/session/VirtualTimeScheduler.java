package spanrill.session;

import java.util.Arrays;

/**
 * Runs events in virtual time, in order of their time and then of their scheduling. A binary heap in an array, so that
 * each of millions of events costs only one entry beside its action.
 *
 * <p>A cancelled event stays in the heap until its time and is skipped then.
 */
public final class VirtualTimeScheduler implements Scheduler {
    /** A scheduled event. */
    public static final class Entry implements Timer {
        private final double dueAt;
        private final long sequence;
        private Runnable action;

        private Entry(double dueAt, long sequence, Runnable action) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.action = action;
        }

        @Override
        public void cancel() {
            action = null;
        }

        private boolean before(Entry other) {
            return dueAt < other.dueAt || (dueAt == other.dueAt && sequence < other.sequence);
        }
    }

    private Entry[] heap = new Entry[1024];
    private int size;
    private double now;
    private long nextSequence;
    private long executed;

    @Override
    public double now() {
        return now;
    }

    /** Number of events that were executed. */
    public long executedCount() {
        return executed;
    }

    @Override
    public Entry schedule(double delayMs, Runnable action) {
        Entry entry = new Entry(now + Math.max(0, delayMs), nextSequence++, action);
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, size * 2);
        }
        int index = size++;
        while (index > 0 && entry.before(heap[(index - 1) / 2])) {
            heap[index] = heap[(index - 1) / 2];
            index = (index - 1) / 2;
        }
        heap[index] = entry;
        return entry;
    }

    /** Runs all events up to and including a time, and sets the clock to that time. */
    public void runUntil(double end) {
        while (size > 0 && heap[0].dueAt <= end) {
            Entry next = poll();
            if (next.action != null) {
                now = next.dueAt;
                executed++;
                Runnable action = next.action;
                next.action = null;
                action.run();
            }
        }
        now = end;
    }

    private Entry poll() {
        Entry first = heap[0];
        Entry last = heap[--size];
        heap[size] = null;
        if (size > 0) {
            int index = 0;
            for (int child = 1; child < size; child = 2 * index + 1) {
                if (child + 1 < size && heap[child + 1].before(heap[child])) {
                    child++;
                }
                if (!heap[child].before(last)) {
                    break;
                }
                heap[index] = heap[child];
                index = child;
            }
            heap[index] = last;
        }
        return first;
    }
}
