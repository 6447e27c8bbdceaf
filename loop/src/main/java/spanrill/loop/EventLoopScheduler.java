package spanrill.loop;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import spanrill.session.Scheduler;

/**
 * Scheduler of a session core that runs on a Netty event loop. After a pause of the process the loop runs the timers
 * that are due before it reads its sockets. A timer that is late therefore runs only after input that has arrived was
 * read: the input may make the timer's action wrong or unnecessary.
 */
public final class EventLoopScheduler implements Scheduler {
    /** Lateness from which the loop counts as having paused, ms. */
    private static final double LATE_MS = 20;

    private final EventLoop loop;
    private final NextIterationExecutor nextIteration;
    private final Clock clock;

    /** Creates a scheduler that runs timers on the loop and takes the time from the clock. */
    public EventLoopScheduler(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
        nextIteration = new NextIterationExecutor(loop);
    }

    @Override
    public double now() {
        return clock.now();
    }

    @Override
    public Timer schedule(double delayMs, Runnable action) {
        return new LoopTimer(Math.max(0, delayMs), action);
    }

    /** A timer; confined to the loop but for its creation. */
    private final class LoopTimer implements Timer {
        private final double dueAt;
        private final Runnable action;
        private final ScheduledFuture<?> future;
        private volatile boolean cancelled;

        LoopTimer(double delayMs, Runnable action) {
            this.action = action;
            dueAt = Clock.monotonicMs() + delayMs;
            future = loop.schedule(this::onDue, (long) Math.ceil(delayMs * 1000), TimeUnit.MICROSECONDS);
        }

        private void onDue() {
            if (Clock.monotonicMs() - dueAt < LATE_MS) {
                action.run();
                return;
            }
            nextIteration.execute(() -> {
                if (!cancelled) {
                    action.run();
                }
            });
        }

        @Override
        public void cancel() {
            cancelled = true;
            future.cancel(false);
        }
    }
}
