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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import spanrill.node.config.ServerListUpdate;
import spanrill.node.discovery.DiscoveryClient;
import spanrill.session.EventSink;

/** Tests the discovery client by itself, with a consumer of updates that fails. */
@Timeout(30)
class DiscoveryClientTest {
    private static final long TIMEOUT_MS = 3000;
    /** Time after which an update counts as told, from when discovery has it and can be reached. */
    private static final long TOLD_AFTER_FAILED_CALL_MS = 6000;
    /** Longer than the silence after which the client asks again. */
    private static final long PAUSE_MS = 2500;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Long> applied = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> failing = new LinkedBlockingQueue<>();
    private ScriptedDiscovery discovery;

    @BeforeEach
    void start() throws Exception {
        discovery = new ScriptedDiscovery();
        startClient(discovery.port());
    }

    private void startClient(int port) {
        DiscoveryClient client = new DiscoveryClient(
                group.next(), EventSink.none(), new InetSocketAddress("127.0.0.1", port), 1, 7, this::onUpdate);
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

    /** Guards against calls to discovery that are given up before their answer comes (report 9d0960). */
    @ParameterizedTest
    @ValueSource(longs = {1700, 2500, 4000})
    void updateIsAppliedWhenDiscoveryAnswersSlowly(long responseDelayMs) throws Exception {
        try (ScriptedDiscovery slow = new ScriptedDiscovery("200 OK", ": hello\n\n" + draining(2), responseDelayMs)) {
            startClient(slow.port());
            assertEquals(
                    2L,
                    applied.poll(TOLD_AFTER_FAILED_CALL_MS, TimeUnit.MILLISECONDS),
                    "an update counts as told 6 s after discovery can be reached");
        }
    }

    /** Guards against an unread update being thrown away with its connection after a pause of the loop (review/3). */
    @Test
    void unreadUpdateIsAppliedBeforeTheStreamIsReplacedAfterAPause() throws Exception {
        ScriptedDiscovery.StreamRequest request = discovery.awaitRequest(TIMEOUT_MS);
        request.sendEvent(2, TestConfig.event(2, false, TestConfig.member("s-1", 1, "DRAINING")));
        assertEquals(2L, applied.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        LoopPause.start(group.next(), PAUSE_MS);
        request.sendEvent(3, TestConfig.event(3, false, TestConfig.member("s-1", 1, "DELETED")));
        assertEquals(
                3L,
                applied.poll(PAUSE_MS + TIMEOUT_MS, TimeUnit.MILLISECONDS),
                "read from the connection on which it had arrived");
    }

    private static String draining(long number) {
        String event = TestConfig.event(number, false, TestConfig.member("s-1", 1, "DRAINING"));
        return "id: " + number + "\ndata: " + event + "\n\n";
    }
}
