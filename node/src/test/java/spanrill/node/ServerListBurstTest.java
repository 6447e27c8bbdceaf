package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.SingleThreadEventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import spanrill.session.EventSink;
import spanrill.wire.platform.MessageType;

/** Tests that requests are answered while many updates of a long server list arrive. */
class ServerListBurstTest extends FrontNodeTestBase {
    private static final int LISTED_SERVERS = 3200;
    private static final int REPLACED_SERVERS = 1920;
    private static final long WAIT_AND_HALF_A_SECOND_MS = 2000;

    private final AtomicLong lastApplied = new AtomicLong();
    private FrontNode longListNode;
    private ScriptedDiscovery.StreamRequest request;
    private TestConnection viewer;

    /** A server for titles of another cell, at a loopback address on which nothing listens. */
    private static String remoteMember(int number, int generation, String phase) {
        String address = "127." + (20 + generation) + "." + number / 250 + "." + (number % 250 + 1) + ":3868";
        return TestConfig.member("r-" + generation + "-" + number, 1, phase)
                .replace("127.0.0.1:1", address)
                .replace("\"cell\":0", "\"cell\":" + (1 + number / 8));
    }

    private String wholeList(long number) {
        List<String> members =
                new ArrayList<>(List.of(firstServer.listEntry("SERVING"), secondServer.listEntry("SERVING")));
        for (int i = 0; i < LISTED_SERVERS; i++) {
            members.add(remoteMember(i, 0, "SERVING"));
        }
        return TestConfig.event(number, true, members.toArray(String[]::new));
    }

    @BeforeEach
    void startNodeWithLongList() throws Exception {
        discovery.awaitRequest(TIMEOUT_MS);
        EventSink log = new EventSink() {
            @Override
            public void info(String event, Object... fields) {
                if (event.equals("discovery.update")) {
                    lastApplied.set((Long) fields[1]);
                }
            }

            @Override
            public void error(String event, Throwable cause, Object... fields) {}
        };
        longListNode = FrontNode.start(
                createConfig(discovery.port(), firstServer.listEntry("SERVING")), log, EventSink.none());
        closeAfterTest(longListNode);
        request = discovery.awaitRequest(TIMEOUT_MS);
        request.sendEvent(2, wholeList(2));
        awaitApplied(2);
        viewer = closeAfterTest(TestConnection.connect(longListNode.address().getPort()));
        establishSession(viewer, "free");
    }

    private void awaitApplied(long number) throws InterruptedException {
        for (int i = 0; i < 1000 && lastApplied.get() < number; i++) {
            java.util.concurrent.TimeUnit.MILLISECONDS.sleep(10);
        }
        assertEquals(number, lastApplied.get());
    }

    private void verifyRequestsAreServedInTime() throws InterruptedException {
        for (int i = 0; i < 5; i++) {
            sendSetUp(viewer, "free");
            assertEquals(
                    MessageType.ANSWER,
                    awaitAnswer(viewer, WAIT_AND_HALF_A_SECOND_MS).type());
        }
    }

    private static String text(long number, String event) {
        return "id: " + number + "\ndata: " + event + "\n\n";
    }

    /** Writes updates while the loop is blocked as long as the sockets take them, and the rest afterwards. */
    private CompletableFuture<Void> writeInBackground(String updates) {
        return CompletableFuture.runAsync(() -> {
            try {
                request.write(updates);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    /** Guards against requests that are lost while six in ten of 3,200 servers are replaced (review/7). */
    @Test
    void requestIsAnsweredInTimeWhileManyServersAreReplaced() throws Exception {
        StringBuilder updates = new StringBuilder();
        long number = 2;
        for (int i = 0; i < REPLACED_SERVERS; i++) {
            updates.append(text(++number, TestConfig.event(number, false, remoteMember(i, 1, "SERVING"))));
            updates.append(text(++number, TestConfig.event(number, false, remoteMember(i, 0, "DELETED"))));
        }
        CompletableFuture<Void> written = writeInBackground(updates.toString());
        verifyRequestsAreServedInTime();
        written.join();
        awaitApplied(number);
    }

    /** Records how many updates the event loop applies in one iteration, at most. */
    private final class IterationRecorder implements Runnable {
        private final SingleThreadEventLoop loop = (SingleThreadEventLoop) longListNode.eventLoop();
        private final AtomicLong maxApplied = new AtomicLong();
        private long appliedBefore = lastApplied.get();
        private volatile boolean stopped;

        @Override
        public void run() {
            long applied = lastApplied.get();
            maxApplied.accumulateAndGet(applied - appliedBefore, Math::max);
            appliedBefore = applied;
            if (!stopped) {
                loop.executeAfterEventLoopIteration(() -> loop.execute(this));
            }
        }
    }

    /** Guards against a burst of updates that are cheap, but are all applied before a request is read (review/7). */
    @Test
    void requestsAreReadBetweenTheUpdatesOfABurst() throws Exception {
        int updateCount = 30_000;
        int shortest = Integer.MAX_VALUE;
        StringBuilder updates = new StringBuilder();
        for (int i = 0; i < updateCount; i++) {
            String phase = i / LISTED_SERVERS % 2 == 0 ? "DRAINING" : "SERVING";
            String update = text(3 + i, TestConfig.event(3 + i, false, remoteMember(i % LISTED_SERVERS, 0, phase)));
            shortest = Math.min(shortest, update.length());
            updates.append(update);
        }
        IterationRecorder iterations = new IterationRecorder();
        LoopBlocker blocker = new LoopBlocker();
        longListNode.eventLoop().execute(blocker);
        blocker.awaitBlocked();
        longListNode.eventLoop().execute(iterations);
        CompletableFuture<Void> written = writeInBackground(updates.toString());
        sendSetUp(viewer, "free");
        blocker.unblock();
        assertEquals(
                MessageType.ANSWER,
                awaitAnswer(viewer, WAIT_AND_HALF_A_SECOND_MS).type());
        written.join();
        awaitApplied(2 + updateCount);
        iterations.stopped = true;
        long readPerIteration = 32 * 1024 / shortest + 1;
        assertTrue(
                iterations.maxApplied.get() <= readPerIteration,
                iterations.maxApplied + " updates were applied in one iteration");
    }

    /** Guards against whole lists, told one after the other, that keep requests waiting. */
    @Test
    void requestsAreAnsweredInTimeWhileWholeListsAreToldAnew() throws Exception {
        int lists = 10;
        StringBuilder updates = new StringBuilder();
        for (int i = 0; i < lists; i++) {
            updates.append(text(3 + i, wholeList(3 + i)));
        }
        CompletableFuture<Void> written = writeInBackground(updates.toString());
        verifyRequestsAreServedInTime();
        written.join();
        awaitApplied(2 + lists);
    }

    /** The cheaper walk through an update still finds each server that it calls draining. */
    @Test
    void serverThatDrainsInABurstGetsNoSetUpAfterwards() throws Exception {
        StringBuilder updates = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            updates.append(text(3 + i, TestConfig.event(3 + i, false, remoteMember(i, 0, "DRAINING"))));
        }
        updates.append(text(1003, TestConfig.event(1003, false, firstServer.listEntry("DRAINING"))));
        request.write(updates.toString());
        awaitApplied(1003);
        firstServer.received.clear();
        secondServer.received.clear();
        for (int i = 0; i < 5; i++) {
            establishSession(viewer, "free");
        }
        assertNull(firstServer.awaitMessage(MessageType.SET_UP, 100));
        assertNotNull(secondServer.awaitMessage(MessageType.SET_UP, 100));
    }
}
