package spanrill.session;

import java.util.Arrays;

/**
 * Events of a run in virtual time: the earliest first, of equal times the one set first. A binary heap on
 * arrays, so that millions of events cost no object of their own beside the action.
 *
 * <p>A cancelled event stays until its time and is passed over then.
 */
public final class VirtualTimeScheduler implements Scheduler {
    /** An event that was set. */
    public static final class Entry implements Timer {
        private final double at;
        private final long order;
        private Runnable action;

        private Entry(double at, long order, Runnable action) {
            this.at = at;
            this.order = order;
            this.action = action;
        }

        @Override
        public void cancel() {
            action = null;
        }

        private boolean before(Entry other) {
            return at < other.at || (at == other.at && order < other.order);
        }
    }

    private Entry[] heap = new Entry[1024];
    private int size;
    private double now;
    private long orders;
    private long ran;

    @Override
    public double now() {
        return now;
    }

    /** Events that ran. */
    public long executedCount() {
        return ran;
    }

    @Override
    public Entry schedule(double ms, Runnable action) {
        Entry entry = new Entry(now + Math.max(0, ms), orders++, action);
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, size * 2);
        }
        int at = size++;
        while (at > 0 && entry.before(heap[(at - 1) / 2])) {
            heap[at] = heap[(at - 1) / 2];
            at = (at - 1) / 2;
        }
        heap[at] = entry;
        return entry;
    }

    /** Runs all events up to a time, that time included; it is now then. */
    public void runUntil(double end) {
        while (size > 0 && heap[0].at <= end) {
            Entry next = poll();
            if (next.action != null) {
                now = next.at;
                ran++;
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
            int at = 0;
            for (int child = 1; child < size; child = 2 * at + 1) {
                if (child + 1 < size && heap[child + 1].before(heap[child])) {
                    child++;
                }
                if (!heap[child].before(last)) {
                    break;
                }
                heap[at] = heap[child];
                at = child;
            }
            heap[at] = last;
        }
        return first;
    }
}
