package spanrill.loop;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import spanrill.session.Scheduler;

/** Scheduler of a session core that runs on a Netty event loop. */
public final class EventLoopScheduler implements Scheduler {
    private final EventLoop loop;
    private final Clock clock;

    /** Creates a scheduler that runs timers on the loop and takes the time from the clock. */
    public EventLoopScheduler(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    @Override
    public double now() {
        return clock.now();
    }

    @Override
    public Timer schedule(double delayMs, Runnable action) {
        ScheduledFuture<?> future =
                loop.schedule(action, (long) Math.ceil(Math.max(0, delayMs) * 1000), TimeUnit.MICROSECONDS);
        return () -> future.cancel(false);
    }
}
