package spanrill.loop;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import spanrill.session.EventSink;

/**
 * An action that an event loop repeats at a fixed rate. A fault in one run is logged and the next run takes place all
 * the same; Netty ends a periodic task silently at its first exception.
 */
public final class PeriodicTask {
    private final EventSink log;
    private final String name;
    private final Runnable action;

    private PeriodicTask(EventSink log, String name, Runnable action) {
        this.log = log;
        this.name = name;
        this.action = action;
    }

    /**
     * Starts to run an action on a loop, for the first time after {@code intervalMs}; cancelling the result ends it.
     *
     * @param name names the action in the log event {@code task.fault}
     */
    public static ScheduledFuture<?> start(
            EventLoop loop, long intervalMs, EventSink log, String name, Runnable action) {
        PeriodicTask task = new PeriodicTask(log, name, action);
        return loop.scheduleAtFixedRate(task::run, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    private void run() {
        try {
            action.run();
        } catch (RuntimeException e) {
            log.error("task.fault", e, "task", name);
        }
    }
}
