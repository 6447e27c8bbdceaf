package spanrill.loop;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import spanrill.session.EventSink;

/**
 * An action that an event loop repeats at a fixed rate. Each run follows an iteration that reads the loop's input, so
 * that a check by time does not judge by what it knew before a pause. A fault in one run is logged and the next run
 * takes place all the same; Netty ends a periodic task silently at its first exception.
 */
public final class PeriodicTask {
    private final EventSink log;
    private final String name;
    private final Runnable action;
    private final NextIterationExecutor nextIteration;
    private final ScheduledFuture<?> timer;
    private boolean runPending;
    private volatile boolean cancelled;

    private PeriodicTask(EventLoop loop, long intervalMs, EventSink log, String name, Runnable action) {
        this.log = log;
        this.name = name;
        this.action = action;
        nextIteration = new NextIterationExecutor(loop);
        timer = loop.scheduleAtFixedRate(this::onTimer, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts to run an action on a loop, for the first time after {@code intervalMs}.
     *
     * @param name names the action in the log event {@code task.fault}
     */
    public static PeriodicTask start(EventLoop loop, long intervalMs, EventSink log, String name, Runnable action) {
        return new PeriodicTask(loop, intervalMs, log, name, action);
    }

    /** Ends the task. Called on the loop, no run follows. */
    public void cancel() {
        cancelled = true;
        timer.cancel(false);
    }

    private void onTimer() {
        // Runs that were missed during a pause are not made up for.
        if (!runPending) {
            runPending = true;
            nextIteration.execute(this::run);
        }
    }

    private void run() {
        runPending = false;
        if (cancelled) {
            return;
        }
        try {
            action.run();
        } catch (RuntimeException e) {
            log.error("task.fault", e, "task", name);
        }
    }
}
