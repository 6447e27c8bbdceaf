package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import spanrill.node.config.ServerListUpdate;
import spanrill.node.discovery.DiscoveryClient;
import spanrill.session.EventSink;

/** Tests the discovery client by itself, with a consumer of updates that fails. */
@Timeout(30)
class DiscoveryClientTest {
    private static final long TIMEOUT_MS = 3000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Long> applied = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> failing = new LinkedBlockingQueue<>();
    private ScriptedDiscovery discovery;

    @BeforeEach
    void start() throws Exception {
        discovery = new ScriptedDiscovery();
        DiscoveryClient client = new DiscoveryClient(
                group.next(),
                EventSink.none(),
                new InetSocketAddress("127.0.0.1", discovery.port()),
                1,
                7,
                this::onUpdate);
        group.submit(client::start).syncUninterruptibly();
    }

    @AfterEach
    void stop() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        discovery.close();
    }

    private void onUpdate(ServerListUpdate update) {
        if (failing.remove(update.number())) {
            throw new IllegalStateException("update " + update.number() + " cannot be applied");
        }
        applied.add(update.number());
    }

    /** Guards against an update that is lost for good because applying it failed once (review/1). */
    @Test
    void updateIsRequestedAgainWhenItCannotBeApplied() throws Exception {
        failing.add(3L);
        ScriptedDiscovery.StreamRequest request = discovery.awaitRequest(TIMEOUT_MS);
        String member = TestConfig.member("s-1", 1, "DRAINING");
        request.sendEvent(2, TestConfig.event(2, false, member));
        request.sendEvent(3, TestConfig.event(3, false, member));
        ScriptedDiscovery.StreamRequest repeated = discovery.awaitRequest(TIMEOUT_MS);
        assertEquals("2", repeated.lastEventId(), "requested again from the last update that was applied");
        repeated.sendEvent(3, TestConfig.event(3, false, member));
        repeated.sendEvent(4, TestConfig.event(4, false, member));
        for (long number = 2; number <= 4; number++) {
            assertEquals(number, applied.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }
    }
}
