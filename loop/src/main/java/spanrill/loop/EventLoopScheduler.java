package spanrill.loop;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import spanrill.session.Scheduler;

/** Time and timers of a core on a Netty loop. */
public final class EventLoopScheduler implements Scheduler {
    private final EventLoop loop;
    private final Clock clock;

    /** Timers run on the loop, times are those of the clock. */
    public EventLoopScheduler(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    @Override
    public double now() {
        return clock.now();
    }

    @Override
    public Timer schedule(double ms, Runnable action) {
        ScheduledFuture<?> set = loop.schedule(action, (long) Math.ceil(Math.max(0, ms) * 1000), TimeUnit.MICROSECONDS);
        return () -> set.cancel(false);
    }
}
