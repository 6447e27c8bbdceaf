package spanrill.session;

import java.util.ArrayDeque;
import java.util.function.DoubleConsumer;

/**
 * Runs events one after the other, each with its time. An event that is added while another runs (such as the callback
 * of a box client that answers at once) waits until that one has ended, so the module is never re-entered from within
 * its own calls.
 */
public final class SerialExecutor {
    private final Scheduler scheduler;
    private final EventSink log;
    private final ArrayDeque<DoubleConsumer> queue = new ArrayDeque<>();
    private boolean running;

    /** Creates an executor with the scheduler's clock. Exceptions thrown by events are logged. */
    public SerialExecutor(Scheduler scheduler, EventSink log) {
        this.scheduler = scheduler;
        this.log = log;
    }

    /** Current time in milliseconds. */
    public double now() {
        return scheduler.now();
    }

    /** Runs an event now, or after the running event and those queued before it. */
    public void execute(DoubleConsumer event) {
        queue.add(event);
        if (running) {
            return;
        }
        running = true;
        try {
            for (DoubleConsumer next = queue.poll(); next != null; next = queue.poll()) {
                try {
                    next.accept(scheduler.now());
                } catch (RuntimeException e) {
                    // A fault in one event must not stop the others. A pending answer is sent by the deadline guard.
                    log.error("core.fault", e);
                }
            }
        } finally {
            running = false;
        }
    }

    /** Runs an event after a delay in milliseconds. */
    public Scheduler.Timer schedule(double delayMs, DoubleConsumer event) {
        return scheduler.schedule(delayMs, () -> execute(event));
    }

    /** Runs an event repeatedly, at an interval in milliseconds. */
    public void scheduleRepeatedly(double intervalMs, DoubleConsumer event) {
        scheduler.schedule(intervalMs, () -> {
            execute(event);
            scheduleRepeatedly(intervalMs, event);
        });
    }
}
