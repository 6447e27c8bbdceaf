package spanrill.session;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** Time that stands still until the test moves it; timers run in order of time, then of setting. */
public final class ManualClock implements Scheduler {
    private record Due(double at, long order, Runnable action) {}

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private double now = 1_000_000;
    private long orders;

    @Override
    public double now() {
        return now;
    }

    @Override
    public Timer schedule(double ms, Runnable action) {
        Due set = new Due(now + Math.max(0, ms), orders++, action);
        due.add(set);
        return () -> due.remove(set);
    }

    /** Time passes without a timer run, as when a process stands still. */
    public void advanceWithoutTimers(double ms) {
        now += ms;
    }

    /** Runs timers until something holds or a time has passed; true when it holds. */
    public boolean runUntil(BooleanSupplier holds, double ms) {
        double end = now + ms;
        while (!holds.getAsBoolean()) {
            Due next = due.peek();
            if (next == null || next.at() > end) {
                now = Math.max(now, end);
                return holds.getAsBoolean();
            }
            due.poll();
            now = Math.max(now, next.at());
            next.action().run();
        }
        return true;
    }

    /** Timers that are set. */
    public int pendingTimers() {
        return due.size();
    }

    /** Runs all timers of a time. */
    public void advance(double ms) {
        runUntil(() -> false, ms);
    }
}
