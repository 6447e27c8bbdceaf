package spanrill.cli;

import com.nimbusds.jose.JOSEException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import spanrill.check.EventRecorder;
import spanrill.day.Day;
import spanrill.standin.box.UnshapedBox;
import spanrill.standin.registry.Entry;
import spanrill.standin.registry.StandinRegistry;
import spanrill.standin.token.Issuer;
import spanrill.standin.viewer.SetUpProbe;

/** One front process between boxes without links, and loops for viewers: what measurements run on. */
final class MeasureBench implements AutoCloseable {
    private static final int BOXES = 4;
    static final long SEGMENT = 4L << 20;
    static final double PATIENCE_MS = 3000;

    final MultiThreadIoEventLoopGroup viewers = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    final List<Entry> entries = new ArrayList<>();
    final Issuer issuer;
    final FrontProcesses fronts;
    private final MultiThreadIoEventLoopGroup boxLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventRecorder tap = new EventRecorder(null);

    /** Starts all; {@code limits} are those of the front's settings. */
    MeasureBench(Map<String, Number> limits) throws IOException, InterruptedException, JOSEException {
        Path folder = Files.createTempDirectory("spanrill-measure");
        for (int i = 0; i < BOXES; i++) {
            entries.add(new Entry(
                    "box-" + i, new UnshapedBox(boxLoops.next(), SEGMENT).port(), "a", "std", i, "ready", 1, 0));
        }
        StandinRegistry registry = new StandinRegistry(boxLoops.next(), tap, 1);
        registry.addTitle("title", 0, BOXES, 3_600_000, List.of(2000L), 0);
        registry.addBoxes(entries);
        int registryPort = registry.listen();
        issuer = Issuer.generate("k");
        Issuer.writeVerificationKeys(folder.resolve("keys.json"), issuer);
        Day day = day();
        FrontProcesses.Config config = (front, port) -> {
            Path file = folder.resolve("front.json");
            FrontConfig.write(file, day, List.of(1e9, 1e9, 1e9, 1e9), 0, port, registryPort, 1, limits);
            return file;
        };
        fronts = new FrontProcesses(1, 1, List.of(0.0, 0.0), config, folder, tap);
        try {
            fronts.startAll();
            awaitReady();
        } catch (IOException | InterruptedException e) {
            close();
            throw e;
        }
    }

    private static Day day() {
        List<Double> never = List.of(0.0, 0.0);
        return new Day(
                1,
                60_000,
                0,
                1,
                List.of("a"),
                1,
                new Day.Boxes(BOXES, 1, 1_000_000, 1e9, 0, 1, 0, 0, 0, 1),
                new Day.Titles(1, 0, List.of(BOXES, BOXES), 3_600_000, 2000, List.of(), 0),
                Map.of("free", new Day.DayClass(1, List.of(1.0, 2.0), 1000, PATIENCE_MS, 1, false, 0, 4, 1, 0)),
                new Day.Ladder(List.of(200.0, 2000.0), List.of(0.5, 1.0)),
                new Day.Notes(800, 3000, 6, 500),
                new Day.Rules(5, 2000, 0, 250, 2, 1500, null, null, null),
                new Day.Arrivals(1, Day.Shape.STEADY, 0, 1000),
                List.of(),
                new Day.Distances(0, 0),
                new Day.Viewers(0, List.of(1.0, 2.0), 1, 0, 0, 0, 0, 0, never, 0, 0, 0, 0),
                new Day.Registry(never, never),
                List.of());
    }

    int port() {
        return fronts.port(0);
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port());
    }

    String token(String id) {
        return issuer.issue(id, "v" + id, "title", "free", null, 1, 600);
    }

    private void awaitReady() throws IOException, InterruptedException {
        EventLoop loop = viewers.next();
        for (int i = 0; i < 200; i++) {
            CompletableFuture<String> done = new CompletableFuture<>();
            SetUpProbe.requestSession(
                    loop, address(), "title", token("r" + i), done::complete, done::completeExceptionally);
            try {
                if (done.handle((base, fault) -> fault == null).get(10, TimeUnit.SECONDS)) {
                    return;
                }
            } catch (ExecutionException | TimeoutException e) {
                throw new IOException("the front does not answer", e);
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IOException("the front did not become ready");
    }

    @Override
    public void close() throws IOException {
        fronts.close();
        viewers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        boxLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        tap.close();
    }
}
