package spanrill.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Pauses an event loop as SIGSTOP does: after the pause, timers that are due run before the loop reads any input. */
final class LoopPause {
    /** Longest period of a timer that judges by time, ms. */
    private static final long TIMER_PERIOD_MS = 100;

    private static final long START_TIMEOUT_MS = 3000;

    private LoopPause() {}

    /** Starts a pause; returns once the loop has paused. */
    static void start(EventLoop loop, long pauseMs) throws InterruptedException {
        CountDownLatch paused = new CountDownLatch(1);
        loop.execute(() -> {
            // Due before all periodic timers, so that they run in the same round.
            loop.schedule(
                    () -> {
                        paused.countDown();
                        sleep(pauseMs);
                    },
                    0,
                    TimeUnit.MILLISECONDS);
            sleep(TIMER_PERIOD_MS + 50);
        });
        if (!paused.await(START_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException("the loop did not pause");
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
