package spanrill.front;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;

/**
 * Gives events to the module one after the other, each with its time. What happens within an event (a box
 * side
 * that answers at once) waits until that event is over: the module is never entered from within its own
 * calls.
 */
final class Turns {
    private final EventLoop loop;
    private final Clock clock;
    private final ArrayDeque<DoubleConsumer> waiting = new ArrayDeque<>();
    private boolean inside;

    Turns(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /** Tells an event, now or when the one at hand is over. */
    void tell(DoubleConsumer event) {
        waiting.add(event);
        if (inside) {
            return;
        }
        inside = true;
        try {
            for (DoubleConsumer next = waiting.poll(); next != null; next = waiting.poll()) {
                try {
                    next.accept(clock.now());
                } catch (RuntimeException e) {
                    // One event's fault must not cost the others theirs; owed answers are given by the net.
                    EventLog.error("core.fault", e);
                }
            }
        } finally {
            inside = false;
        }
    }

    /** Tells an event after a time. */
    ScheduledFuture<?> after(double ms, DoubleConsumer event) {
        return loop.schedule(() -> tell(event), (long) Math.ceil(Math.max(0, ms) * 1000),
                TimeUnit.MICROSECONDS);
    }

    /** Tells an event again and again. */
    void every(long ms, DoubleConsumer event) {
        loop.scheduleAtFixedRate(() -> tell(event), ms, ms, TimeUnit.MILLISECONDS);
    }
}
