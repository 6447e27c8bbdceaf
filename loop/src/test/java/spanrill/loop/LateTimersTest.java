package spanrill.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import spanrill.session.EventSink;

/** Tests that input which arrived during a pause of the loop is read before timers that became due during the pause. */
@Timeout(30)
class LateTimersTest {
    private static final long PAUSE_MS = 300;
    private static final long TIMER_MS = 100;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> order = new LinkedBlockingQueue<>();
    private ServerSocket listener;
    private Socket peer;

    @BeforeEach
    void connect() throws Exception {
        listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(new SimpleChannelInboundHandler<ByteBuf>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf data) {
                        order.add("input");
                    }
                })
                .connect(listener.getLocalSocketAddress())
                .sync();
        peer = listener.accept();
    }

    @AfterEach
    void close() throws Exception {
        peer.close();
        listener.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /**
     * Guards against a time-out or retry that unread input makes wrong, such as an attempt for a viewer who has left.
     */
    @Test
    void lateTimerOfTheSchedulerRunsAfterInputIsRead() throws Exception {
        EventLoopScheduler scheduler = new EventLoopScheduler(loop, new Clock());
        pauseWithTimer(action -> scheduler.schedule(TIMER_MS, action));
        assertEquals("input", order.poll(10, TimeUnit.SECONDS));
        assertEquals("timer", order.poll(10, TimeUnit.SECONDS));
    }

    /** Guards against a check of silence or idleness that judges by what was known before the pause. */
    @Test
    void periodicTaskRunsAfterInputIsRead() throws Exception {
        pauseWithTimer(action -> PeriodicTask.start(loop, TIMER_MS, EventSink.none(), "check", action));
        assertEquals("input", order.poll(10, TimeUnit.SECONDS));
        assertEquals("timer", order.poll(10, TimeUnit.SECONDS));
    }

    @Test
    void timerCancelledByInputOfThePauseDoesNotRun() throws Exception {
        EventLoopScheduler scheduler = new EventLoopScheduler(loop, new Clock());
        List<spanrill.session.Scheduler.Timer> timers = new CopyOnWriteArrayList<>();
        CountDownLatch afterTimers = new CountDownLatch(1);
        pauseWithTimer(action -> {
            timers.add(scheduler.schedule(TIMER_MS, () -> timers.get(1).cancel()));
            timers.add(scheduler.schedule(TIMER_MS, action));
            scheduler.schedule(TIMER_MS, afterTimers::countDown);
        });
        assertTrue(afterTimers.await(10, TimeUnit.SECONDS));
        assertEquals(List.of("input"), List.copyOf(order));
    }

    /**
     * Starts a timer and pauses the loop until it is overdue; input arrives during the pause, and after it the timers
     * that are due run before the loop reads.
     */
    private void pauseWithTimer(Consumer<Runnable> startTimer) throws Exception {
        CountDownLatch paused = new CountDownLatch(1);
        loop.execute(() -> {
            startTimer.accept(() -> order.add("timer"));
            // Due together with the timer, but before it, so that both run in the same round of timers.
            loop.schedule(
                    () -> {
                        paused.countDown();
                        sleep(PAUSE_MS);
                    },
                    0,
                    TimeUnit.MILLISECONDS);
            sleep(TIMER_MS + 50);
        });
        assertTrue(paused.await(10, TimeUnit.SECONDS));
        peer.getOutputStream().write(1);
        peer.getOutputStream().flush();
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
