package spanrill.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
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
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import spanrill.standin.viewer.SegmentReader;
import spanrill.standin.viewer.SetUpProbe;

/** Measures one front process between boxes without links and viewers that read as fast as they can. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = {
            "Measures one front: relay throughput beside the box read directly, set-up times and CPU a request at an",
            "open-loop rate, heap with many open sessions. Takes about half a minute; not for CI."
        },
        subcommands = {OverloadCommand.class, CommandLine.HelpCommand.class})
final class MeasureCommand implements Callable<Integer> {
    private static final int IDLE_MS = 600_000;
    private static final Pattern USED = Pattern.compile("used (\\d+)K");

    @Option(names = "--sessions", defaultValue = "2000", description = "open sessions (default: ${DEFAULT-VALUE})")
    private int sessions;

    @Option(names = "--rate", defaultValue = "200", description = "set-ups a second (default: ${DEFAULT-VALUE})")
    private double rate;

    @Option(
            names = "--pullers",
            defaultValue = "16",
            description = "viewers that read at once (default: ${DEFAULT-VALUE})")
    private int pullers;

    @Option(names = "--seconds", defaultValue = "6", description = "of each relay run (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Spec
    private CommandSpec spec;

    private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();

    @Override
    public Integer call() throws Exception {
        if (sessions < pullers || sessions > 50_000 || !(rate > 0) || rate > 100_000 || pullers < 1 || seconds < 1) {
            throw new BadInput("--sessions must be from --pullers to 50000, the others above 0");
        }
        PrintWriter out = spec.commandLine().getOut();
        try (MeasureBench bench = new MeasureBench(Map.of("idleMs", IDLE_MS))) {
            measure(out, bench);
        }
        if (!faults.isEmpty()) {
            throw new IOException("the run does not count: " + faults.size() + " faults, the first: " + faults.peek());
        }
        return Exit.HELD;
    }

    private void measure(PrintWriter out, MeasureBench bench) throws Exception {
        FrontProcesses fronts = bench.fronts;
        MultiThreadIoEventLoopGroup loops = bench.viewers;
        List<String> bases = new ArrayList<>();
        // Warm: the first set-ups pay for class loading and compilation.
        setUps(bench, "w", 2000, 400, new ArrayList<>(), null);
        long heapBefore = heapKb(fronts);
        fronts.sampleCpu();
        double cpu = fronts.cpuMs();
        Histogram times = new ConcurrentHistogram(60_000_000, 3);
        setUps(bench, "m", sessions, rate, bases, times);
        fronts.sampleCpu();
        double perRequest = (fronts.cpuMs() - cpu) / sessions;
        long heap = heapKb(fronts);
        out.printf(
                Locale.ROOT,
                "set-up: %d at %.0f a second, p50 %.2f ms, p99 %.2f ms, CPU %.3f ms a request%n",
                sessions,
                rate,
                times.getValueAtPercentile(50) / 1000.0,
                times.getValueAtPercentile(99) / 1000.0,
                perRequest);
        out.printf(
                Locale.ROOT,
                "heap with %d more open sessions: %.1f MB (before: %.1f MB), %.1f KB a session%n",
                sessions,
                heap / 1024.0,
                heapBefore / 1024.0,
                (heap - heapBefore) / (double) sessions);
        String own = "/attempt/x/1/1.m4s";
        double direct = pull(
                loops,
                seconds,
                i -> new Target(own, bench.entries.get(i % bench.entries.size()).port()));
        MultiThreadIoEventLoopGroup one = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        double bare;
        try (BareRelay relay = new BareRelay(one, bench.entries.get(0).port())) {
            bare = pull(loops, seconds, i -> new Target(own, relay.port()));
        } finally {
            one.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        double relayed = pull(loops, seconds, i -> new Target(bases.get(i) + "v/1/1.m4s", bench.port()));
        out.printf(
                Locale.ROOT,
                "relay: %d viewers, box direct %.0f MB/s, bare relay on one loop %.0f MB/s, through the "
                        + "front %.0f MB/s: %.2f of the bare one, %.2f of direct%n",
                pullers,
                direct,
                bare,
                relayed,
                relayed / bare,
                relayed / direct);
        out.flush();
    }

    private record Target(String path, int port) {}

    private interface Targets {
        Target of(int puller);
    }

    private double pull(MultiThreadIoEventLoopGroup loops, int forS, Targets targets) throws InterruptedException {
        LongAdder bytes = new LongAdder();
        List<SegmentReader> all = new ArrayList<>();
        for (int i = 0; i < pullers; i++) {
            SegmentReader puller = new SegmentReader(targets.of(i).path(), bytes, faults::add);
            all.add(puller);
            puller.start(loops.next(), targets.of(i).port());
        }
        TimeUnit.SECONDS.sleep(2);
        long before = bytes.sum();
        long begin = System.nanoTime();
        TimeUnit.SECONDS.sleep(forS);
        double rate = (bytes.sum() - before) / 1e6 / ((System.nanoTime() - begin) / 1e9);
        all.forEach(SegmentReader::stop);
        return rate;
    }

    /** Set-ups at an open-loop rate: each at its time, whatever became of those before. */
    private void setUps(MeasureBench bench, String prefix, int count, double perS, List<String> bases, Histogram times)
            throws Exception {
        List<String> tokens = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            tokens.add(bench.token(prefix + i));
        }
        List<CompletableFuture<String>> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            CompletableFuture<String> done = new CompletableFuture<>();
            all.add(done);
            EventLoop loop = bench.viewers.next();
            String token = tokens.get(i);
            long due = System.nanoTime() + (long) (i / perS * 1e9);
            loop.schedule(
                    () -> SetUpProbe.requestSession(
                            loop,
                            bench.address(),
                            "title",
                            token,
                            base -> {
                                if (times != null) {
                                    times.recordValue(Math.max(1, (System.nanoTime() - due) / 1000));
                                }
                                done.complete(base);
                            },
                            fault -> {
                                faults.add(fault.getMessage());
                                done.complete("");
                            }),
                    (long) (i / perS * 1e6),
                    TimeUnit.MICROSECONDS);
        }
        for (CompletableFuture<String> done : all) {
            bases.add(done.get(60, TimeUnit.SECONDS));
        }
    }

    /** What the front's heap holds after a collection, by the JDK's own tool. */
    private static long heapKb(FrontProcesses fronts) throws IOException, InterruptedException {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        String pid = Long.toString(fronts.pid(0));
        new ProcessBuilder(jcmd, pid, "GC.run")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
        Process process = new ProcessBuilder(jcmd, pid, "GC.heap_info")
                .redirectErrorStream(true)
                .start();
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
