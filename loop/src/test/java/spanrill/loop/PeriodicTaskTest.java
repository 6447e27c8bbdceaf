package spanrill.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import spanrill.session.EventSink;

class PeriodicTaskTest {
    /** Guards against a check, such as that of silent servers, that one fault switches off for good. */
    @Test
    void faultOfOneRunIsLoggedAndDoesNotEndTheTask() throws Exception {
        List<String> faults = new CopyOnWriteArrayList<>();
        EventSink log = new EventSink() {
            @Override
            public void info(String event, Object... fields) {}

            @Override
            public void error(String event, Throwable cause, Object... fields) {
                faults.add(event + " " + fields[1] + " " + cause.getMessage());
            }
        };
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        CountDownLatch runs = new CountDownLatch(3);
        PeriodicTask task = PeriodicTask.start(loop, 1, log, "check", () -> {
            runs.countDown();
            if (runs.getCount() == 2) {
                throw new IllegalStateException("first run");
            }
        });
        assertTrue(runs.await(10, TimeUnit.SECONDS));
        assertEquals(List.of("task.fault check first run"), faults);
        task.cancel();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
