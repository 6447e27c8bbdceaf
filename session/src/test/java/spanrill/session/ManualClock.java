package spanrill.session;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** A clock that only advances when the test says so. Timers run in order of their time, then of their scheduling. */
public final class ManualClock implements Scheduler {
    private record ScheduledAction(double dueAt, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledAction::dueAt).thenComparingLong(ScheduledAction::sequence));
    private double now = 1_000_000;
    private long nextSequence;

    @Override
    public double now() {
        return now;
    }

    @Override
    public Timer schedule(double delayMs, Runnable action) {
        ScheduledAction scheduled = new ScheduledAction(now + Math.max(0, delayMs), nextSequence++, action);
        queue.add(scheduled);
        return () -> queue.remove(scheduled);
    }

    /** Advances the clock without running timers, as when the process is suspended. */
    public void advanceWithoutTimers(double durationMs) {
        now += durationMs;
    }

    /** Runs timers until a condition is true or a time has passed. Returns whether the condition is true. */
    public boolean runUntil(BooleanSupplier condition, double durationMs) {
        double end = now + durationMs;
        while (!condition.getAsBoolean()) {
            ScheduledAction next = queue.peek();
            if (next == null || next.dueAt() > end) {
                now = Math.max(now, end);
                return condition.getAsBoolean();
            }
            queue.poll();
            now = Math.max(now, next.dueAt());
            next.action().run();
        }
        return true;
    }

    /** Number of pending timers. */
    public int pendingTimers() {
        return queue.size();
    }

    /** Advances the clock and runs the timers that become due. */
    public void advance(double durationMs) {
        runUntil(() -> false, durationMs);
    }
}
