package spanrill.loop;

import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadEventLoop;
import java.util.concurrent.Executor;

/**
 * Runs actions after the loop has read what had come before they were asked for. Within one round a loop
 * reads its sockets one after the other, and timers run when that is over: what one event starts may be
 * against another that lies unread, as a viewer's close or a server's.
 */
public final class NextIterationExecutor implements Executor {
    private final EventLoop loop;

    /** On a loop; asked from that loop only. */
    public NextIterationExecutor(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void execute(Runnable action) {
        if (loop instanceof SingleThreadEventLoop single) {
            // At the end of this round it becomes a task of the next one, which reads before it runs tasks;
            // it goes behind the tasks that reading made, since Netty tells of a close in one.
            single.executeAfterEventLoopIteration(() -> loop.execute(() -> loop.execute(action)));
        } else {
            loop.execute(action);
        }
    }
}
