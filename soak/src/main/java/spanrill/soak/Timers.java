package spanrill.soak;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Timers on the peers' loop; what is due after the trial has ended does not run. */
final class Timers {
    private final EventLoop loop;
    private boolean over;

    Timers(EventLoop loop) {
        this.loop = loop;
    }

    void after(double ms, Runnable action) {
        loop.schedule(
                () -> {
                    if (!over) {
                        action.run();
                    }
                },
                (long) (Math.max(0, ms) * 1000),
                TimeUnit.MICROSECONDS);
    }

    /** Again and again, the first time after one period. */
    void every(double ms, Runnable action) {
        after(ms, () -> {
            action.run();
            every(ms, action);
        });
    }

    void stop() {
        over = true;
    }
}
