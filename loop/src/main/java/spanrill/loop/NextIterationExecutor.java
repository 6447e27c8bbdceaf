package spanrill.loop;

import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadEventLoop;
import java.util.concurrent.Executor;

/**
 * Runs actions after the event loop has read all input that had arrived before they were submitted. In one
 * iteration a loop reads its sockets one after the other and runs timers afterwards. An action that runs at once
 * could therefore act before an event that has arrived but is unread, such as a close by a viewer or a server.
 */
public final class NextIterationExecutor implements Executor {
    private final EventLoop loop;

    /** Creates an executor; actions must be submitted on the thread of the loop. */
    public NextIterationExecutor(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void execute(Runnable action) {
        if (loop instanceof SingleThreadEventLoop single) {
            // The action becomes a task of the next iteration, which reads its sockets before it runs tasks. The
            // second task places the action after the tasks created by reading: Netty reports a close in one.
            single.executeAfterEventLoopIteration(() -> loop.execute(() -> loop.execute(action)));
        } else {
            loop.execute(action);
        }
    }
}
