package spanrill.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import spanrill.check.Tap;
import spanrill.standin.box.PumpBox;
import spanrill.standin.day.Day;
import spanrill.standin.registry.Entry;
import spanrill.standin.registry.StandinRegistry;
import spanrill.standin.token.Issuer;
import spanrill.standin.viewer.Puller;
import spanrill.standin.viewer.SetUpProbe;

/** Measures one front process between boxes without links and viewers that read as fast as they can. */
@Command(name = "measure", mixinStandardHelpOptions = true, description = {
    "Measures one front: relay throughput beside the box read directly, set-up times and CPU a request at an",
    "open-loop rate, heap with many open sessions. Takes about half a minute; not for CI."})
final class MeasureCommand implements Callable<Integer> {
    private static final int BOXES = 4;
    private static final int IDLE_MS = 600_000;
    private static final long SEGMENT = 4L << 20;
    private static final Pattern USED = Pattern.compile("used (\\d+)K");

    @Option(names = "--sessions", defaultValue = "2000", description =
            "open sessions (default: ${DEFAULT-VALUE})")
    private int sessions;

    @Option(names = "--rate", defaultValue = "200", description =
            "set-ups a second (default: ${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--pullers", defaultValue = "16",
            description = "viewers that read at once (default: ${DEFAULT-VALUE})")
    private int pullers;

    @Option(names = "--seconds", defaultValue = "6", description =
            "of each relay run (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Spec
    private CommandSpec spec;

    private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();

    @Override
    public Integer call() throws Exception {
        if (sessions < pullers || sessions > 50_000 || !(rate > 0) || rate > 100_000 || pullers < 1
                || seconds < 1) {
            throw new BadInput("--sessions must be from --pullers to 50000, the others above 0");
        }
        PrintWriter out = spec.commandLine().getOut();
        MultiThreadIoEventLoopGroup boxLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        MultiThreadIoEventLoopGroup viewerLoops = new MultiThreadIoEventLoopGroup(2,
                NioIoHandler.newFactory());
        Path folder = Files.createTempDirectory("spanrill-measure");
        try (Tap tap = new Tap(null)) {
            List<Entry> entries = new ArrayList<>();
            for (int i = 0; i < BOXES; i++) {
                entries.add(new Entry("box-" + i, new PumpBox(boxLoops.next(), SEGMENT).port(), "a", "std", i,
                        "ready",
                        1, 0));
            }
            StandinRegistry registry = new StandinRegistry(boxLoops.next(), tap, 1);
            registry.title("title", 0, BOXES, 3_600_000, 2000);
            registry.begin(entries);
            int registryPort = registry.listen();
            Issuer issuer = Issuer.fresh("k");
            Issuer.publish(folder.resolve("keys.json"), issuer);
            Day day = day();
            FrontProcesses.Config config = (front, port) -> {
                Path file = folder.resolve("front.json");
                FrontConfig.write(file, day, List.of(1e9, 1e9, 1e9, 1e9), 0, port, registryPort, 1,
                        Map.of("idleMs", IDLE_MS));
                return file;
            };
            try (FrontProcesses fronts = new FrontProcesses(1, 1, List.of(0.0, 0.0), config, folder, tap)) {
                fronts.startAll();
                measure(out, fronts, entries, issuer, viewerLoops);
            }
        } finally {
            viewerLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            boxLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        if (!faults.isEmpty()) {
            throw new IOException("the run does not count: " + faults.size() + " faults, the first: "
                    + faults.peek());
        }
        return Exit.HELD;
    }

    private static Day day() {
        List<Double> never = List.of(0.0, 0.0);
        return new Day(1, 60_000, 0, 1, List.of("a"), 1,
                new Day.Boxes(BOXES, 1, 100_000, 1e9, 0, 1, 0, 0, 0, 1),
                new Day.Titles(1, 0, List.of(BOXES, BOXES), 3_600_000, 2000),
                Map.of("free", new Day.DayClass(1, List.of(1.0, 2.0), 1000, 3000, 1, false, 0, 4, 1, 0)),
                new Day.Ladder(List.of(200.0, 2000.0), List.of(0.5, 1.0)), new Day.Notes(800, 3000, 6, 500),
                new Day.Rules(5, 2000, 0, 250, 2, 1500, null, null, null),
                new Day.Arrivals(1, Day.Shape.STEADY, 0, 1000), List.of(), new Day.Distances(0, 0),
                new Day.Viewers(0, List.of(1.0, 2.0), 1, 0, 0, 0, 0, 0, never, 0, 0, 0, 0),
                new Day.Registry(never, never), List.of());
    }

    private void measure(PrintWriter out, FrontProcesses fronts, List<Entry> entries, Issuer issuer,
            MultiThreadIoEventLoopGroup loops) throws Exception {
        int port = fronts.port(0);
        awaitReady(port, loops.next(), issuer);
        List<String> bases = new ArrayList<>();
        // Warm: the first set-ups pay for class loading and compilation.
        setUps(port, issuer, "w", 2000, 400, loops, new ArrayList<>(), null);
        long heapBefore = heapKb(fronts);
        fronts.sampleCpu();
        double cpu = fronts.cpuMs();
        Histogram times = new ConcurrentHistogram(60_000_000, 3);
        setUps(port, issuer, "m", sessions, rate, loops, bases, times);
        fronts.sampleCpu();
        double perRequest = (fronts.cpuMs() - cpu) / sessions;
        long heap = heapKb(fronts);
        out.printf(Locale.ROOT,
                "set-up: %d at %.0f a second, p50 %.2f ms, p99 %.2f ms, CPU %.3f ms a request%n", sessions,
                rate, times.getValueAtPercentile(50) / 1000.0, times.getValueAtPercentile(99) / 1000.0,
                perRequest);
        out.printf(Locale.ROOT,
                "heap with %d more open sessions: %.1f MB (before: %.1f MB), %.1f KB a session%n",
                sessions, heap / 1024.0, heapBefore / 1024.0, (heap - heapBefore) / (double) sessions);
        String own = "/attempt/x/1/1.m4s";
        double direct = pull(loops, seconds, i -> new Target(own, entries.get(i % BOXES).port()));
        double relayed = pull(loops, seconds, i -> new Target(bases.get(i) + "v/1/1.m4s", port));
        out.printf(Locale.ROOT,
                "relay: %d viewers, box direct %.0f MB/s, through the front %.0f MB/s, ratio %.2f%n",
                pullers, direct, relayed, relayed / direct);
        out.flush();
    }

    private record Target(String path, int port) { }

    private interface Targets {
        Target of(int puller);
    }

    private double pull(MultiThreadIoEventLoopGroup loops, int forS, Targets targets)
            throws InterruptedException {
        LongAdder bytes = new LongAdder();
        List<Puller> all = new ArrayList<>();
        for (int i = 0; i < pullers; i++) {
            Puller puller = new Puller(targets.of(i).path(), bytes, faults::add);
            all.add(puller);
            puller.start(loops.next(), targets.of(i).port());
        }
        TimeUnit.SECONDS.sleep(2);
        long before = bytes.sum();
        long begin = System.nanoTime();
        TimeUnit.SECONDS.sleep(forS);
        double rate = (bytes.sum() - before) / 1e6 / ((System.nanoTime() - begin) / 1e9);
        all.forEach(Puller::stop);
        return rate;
    }

    private void awaitReady(int port, EventLoop loop, Issuer issuer) throws Exception {
        for (int i = 0; i < 200; i++) {
            CompletableFuture<String> done = new CompletableFuture<>();
            SetUpProbe.ask(loop, new InetSocketAddress("127.0.0.1", port), "title",
                    issuer.issue("r" + i, "v", "title", "free", null, 1, 600), done::complete,
                    done::completeExceptionally);
            if (done.handle((base, fault) -> fault == null).get(10, TimeUnit.SECONDS)) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IOException("the front did not become ready");
    }

    /** Set-ups at an open-loop rate: each at its time, whatever became of those before. */
    private void setUps(int port, Issuer issuer, String prefix, int count, double perS,
            MultiThreadIoEventLoopGroup loops, List<String> bases, Histogram times) throws Exception {
        List<String> tokens = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            tokens.add(issuer.issue(prefix + i, "v" + i, "title", "free", null, 1, 600));
        }
        List<CompletableFuture<String>> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            CompletableFuture<String> done = new CompletableFuture<>();
            all.add(done);
            EventLoop loop = loops.next();
            String token = tokens.get(i);
            long due = System.nanoTime() + (long) (i / perS * 1e9);
            loop.schedule(() -> SetUpProbe.ask(loop, new InetSocketAddress("127.0.0.1", port), "title", token,
                    base -> {
                if (times != null) {
                    times.recordValue(Math.max(1, (System.nanoTime() - due) / 1000));
                }
                done.complete(base);
            }, fault -> {
                faults.add(fault.getMessage());
                done.complete("");
            }), (long) (i / perS * 1e6), TimeUnit.MICROSECONDS);
        }
        for (CompletableFuture<String> done : all) {
            bases.add(done.get(60, TimeUnit.SECONDS));
        }
    }

    /** What the front's heap holds after a collection, by the JDK's own tool. */
    private static long heapKb(FrontProcesses fronts) throws IOException, InterruptedException {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        String pid = Long.toString(fronts.pid(0));
        new ProcessBuilder(jcmd, pid, "GC.run").redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD).start().waitFor();
        Process process = new ProcessBuilder(jcmd, pid, "GC.heap_info").redirectErrorStream(true).start();
        long used = 0;
        try (BufferedReader in = new BufferedReader(new InputStreamReader(process.getInputStream()))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                Matcher matcher = USED.matcher(line);
                if (line.contains("generation") && matcher.find()) {
                    used += Long.parseLong(matcher.group(1));
                }
            }
        }
        return used;
    }
}
