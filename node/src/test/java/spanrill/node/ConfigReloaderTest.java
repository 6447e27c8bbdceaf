package spanrill.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spanrill.node.config.NodeConfig;
import spanrill.session.EventSink;

class ConfigReloaderTest {
    private static final int OLD_PORT = 4001;
    private static final int NEW_PORT = 4002;

    @TempDir
    private Path folder;

    private NodeConfig config(int discoveryPort) throws IOException {
        Path file = folder.resolve(discoveryPort + ".json");
        String event = TestConfig.event(1, true, TestConfig.member("s-1", 1, "SERVING"));
        Files.writeString(file, TestConfig.json(4000, discoveryPort, List.of(event)));
        return NodeConfig.read(file);
    }

    /** Guards against discovery's previous address being applied last when two SIGHUPs follow each other closely. */
    @Test
    void newestConfigurationIsAppliedLastWhenReloadsOverlap() throws Exception {
        NodeConfig previous = config(OLD_PORT);
        NodeConfig newest = config(NEW_PORT);
        CountDownLatch firstIsReading = new CountDownLatch(1);
        CountDownLatch secondHasStarted = new CountDownLatch(1);
        AtomicInteger reads = new AtomicInteger();
        ConfigReloader reloader = new ConfigReloader(
                "config.json",
                () -> {
                    if (reads.getAndIncrement() > 0) {
                        return newest;
                    }
                    firstIsReading.countDown();
                    awaitUnchecked(secondHasStarted);
                    return previous;
                },
                EventSink.none());
        AtomicReference<NodeConfig> applied = new AtomicReference<>();
        Thread first = new Thread(() -> reloader.reload(applied::set));
        first.start();
        assertTrue(firstIsReading.await(10, TimeUnit.SECONDS));
        Thread second = new Thread(() -> reloader.reload(applied::set));
        second.start();
        // Without the reloads being ordered, the second ends here, before the first has read its file.
        second.join(300);
        secondHasStarted.countDown();
        first.join();
        second.join();
        assertEquals(NEW_PORT, applied.get().discovery().getPort());
    }

    private static void awaitUnchecked(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
