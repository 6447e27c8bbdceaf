package spanrill.session;

import java.util.ArrayDeque;
import java.util.function.DoubleConsumer;

/**
 * Gives events to the module one after the other, each with its time. What happens within an event (a box
 * side that answers at once) waits until that event is over: the module is never entered from
 * within its own calls.
 */
public final class SerialExecutor {
    private final Scheduler scheduler;
    private final EventSink log;
    private final ArrayDeque<DoubleConsumer> waiting = new ArrayDeque<>();
    private boolean inside;

    /** Events are given their time by the scheduler; faults within them go to the log. */
    public SerialExecutor(Scheduler scheduler, EventSink log) {
        this.scheduler = scheduler;
        this.log = log;
    }

    /** Now, milliseconds. */
    public double now() {
        return scheduler.now();
    }

    /** Tells an event, now or when the one at hand is over. */
    public void execute(DoubleConsumer event) {
        waiting.add(event);
        if (inside) {
            return;
        }
        inside = true;
        try {
            for (DoubleConsumer next = waiting.poll(); next != null; next = waiting.poll()) {
                try {
                    next.accept(scheduler.now());
                } catch (RuntimeException e) {
                    // One event's fault must not cost the others theirs; owed answers are given by the net.
                    log.error("core.fault", e);
                }
            }
        } finally {
            inside = false;
        }
    }

    /** Tells an event after a time. */
    public Scheduler.Timer schedule(double ms, DoubleConsumer event) {
        return scheduler.schedule(ms, () -> execute(event));
    }

    /** Tells an event again and again. */
    public void scheduleRepeatedly(double ms, DoubleConsumer event) {
        scheduler.schedule(ms, () -> {
            execute(event);
            scheduleRepeatedly(ms, event);
        });
    }
}
