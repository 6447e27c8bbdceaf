package spanrill.soak;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Timers on the event loop of the peers. Actions that are due after {@link #stop} do not run. */
final class Timers {
    private final EventLoop loop;
    private boolean stopped;

    Timers(EventLoop loop) {
        this.loop = loop;
    }

    void schedule(double delayMs, Runnable action) {
        loop.schedule(
                () -> {
                    if (!stopped) {
                        action.run();
                    }
                },
                (long) (Math.max(0, delayMs) * 1000),
                TimeUnit.MICROSECONDS);
    }

    /** Runs an action repeatedly, first after one period, then one period after each run. */
    void scheduleRepeating(double periodMs, Runnable action) {
        schedule(periodMs, () -> {
            action.run();
            scheduleRepeating(periodMs, action);
        });
    }

    void stop() {
        stopped = true;
    }
}
