package spanrill.cli;

import com.nimbusds.jose.JOSEException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import spanrill.check.EventRecorder;
import spanrill.check.TraceEvent;
import spanrill.day.Day;
import spanrill.day.DayPlan;
import spanrill.emulator.Emulator;
import spanrill.model.hall.HallHealNotifier;
import spanrill.results.CountRow;
import spanrill.results.EndRow;
import spanrill.results.ParquetRows;
import spanrill.results.SecondRow;
import spanrill.results.ViewerRow;
import spanrill.standin.box.BoxFleet;
import spanrill.standin.box.ReceivedBytes;
import spanrill.standin.box.StandinBox;
import spanrill.standin.registry.StandinRegistry;
import spanrill.standin.token.Issuer;
import spanrill.standin.trouble.FaultInjector;
import spanrill.standin.viewer.ViewerContext;
import spanrill.standin.viewer.ViewerLoadGenerator;
import spanrill.standin.viewer.ViewerStats;

/** One rehearsal: stand-ins in this process, fronts in their own, one clock for all records. */
final class Rehearsal {
    static final String SECONDS = "seconds.parquet";
    static final String COUNTS = "counts.parquet";
    static final String VIEWERS = "viewers.parquet";
    static final String ENDS = "ends.parquet";
    private static final long PROGRESS_MS = 5000;
    private static final long CPU_MS = 500;
    private static final int PLAYER_LOOPS = 2;

    private final String name;
    private final Day day;
    private final long seed;
    private final Path folder;
    private final Path results;
    private final PrintWriter progress;

    /** Keeps fronts' settings and logs in {@code folder}, and rows in {@code results} unless it is null. */
    Rehearsal(String name, Day day, long seed, Path folder, Path results, PrintWriter progress) {
        this.name = name;
        this.day = day;
        this.seed = seed;
        this.folder = folder;
        this.results = results;
        this.progress = progress;
    }

    Report run(Path taps) throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup boxLoops =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("boxes", true), NioIoHandler.newFactory());
        MultiThreadIoEventLoopGroup playerLoops = new MultiThreadIoEventLoopGroup(
                PLAYER_LOOPS, new DefaultThreadFactory("players", true), NioIoHandler.newFactory());
        try (EventRecorder tap = new EventRecorder(taps);
                RunRows rows = new RunRows(results)) {
            tap.record(Emulator.facts(day));
            EventLoop loop = boxLoops.next();
            ReceivedBytes receipts = new ReceivedBytes();
            BoxFleet fleet = new BoxFleet(day, seed, loop, tap, receipts, rows.seconds);
            fleet.open();
            StandinRegistry registry = registry(loop, tap, fleet);
            int registryPort = registry.listen();
            Issuer issuer = issuer();
            List<Double> links =
                    fleet.boxes().stream().map(StandinBox::linkKilobytesPerS).toList();
            FrontProcesses.Config config = (front, port) -> {
                Path file = folder.resolve("front-" + front + ".json");
                FrontConfig.write(file, day, links, front, port, registryPort, seed, Map.of());
                return file;
            };
            try (FrontProcesses fronts = new FrontProcesses(
                    day.fronts(), day.zones().size(), day.viewers().frontNoticeMs(), config, folder, tap)) {
                fronts.startAll();
                DayPlan plan = new DayPlan(day, seed);
                HallHealNotifier watch = new HallHealNotifier(day.zones().size());
                ViewerLoadGenerator crowd = new ViewerLoadGenerator(
                        new ViewerContext(
                                day,
                                fronts,
                                issuer,
                                tap,
                                receipts,
                                new ViewerStats(),
                                watch,
                                Long.toString(System.currentTimeMillis(), Character.MAX_RADIX)),
                        plan.arrivals(),
                        playerLoops);
                FaultInjector director =
                        new FaultInjector(day, plan.effects(), fleet, registry, fronts, watch, loop, this::say);
                double began = tap.nowMs();
                play(loop, crowd, director, fronts, fleet, rows);
                fronts.sampleCpu();
                Resources resources =
                        Resources.take(loop.submit(fleet::linkModelMs).get());
                long frontsKb = fronts.residentKb();
                // Judged before the fronts are stopped: sessions that end with the day did not end early.
                List<TraceEvent> records = tap.events();
                fronts.stopAll();
                long spends = loop.submit(() -> fleet.boxes().stream()
                                .mapToLong(StandinBox::spendingSetUps)
                                .sum())
                        .get();
                List<HealedHall> healed = HealedHall.of(records, plan.effects(), began, day);
                Judgement judged = Judgement.of(records);
                rows.viewers(judged, began);
                return new Report(
                        name,
                        seed,
                        crowd.stats(),
                        judged,
                        fronts.cpuMs(),
                        spends,
                        fleet.shapingDelayMicros(),
                        resources,
                        frontsKb,
                        healed);
            } catch (ExecutionException e) {
                throw new IOException("the stand-ins failed: " + e.getCause(), e);
            } finally {
                registry.close();
                fleet.close();
            }
        } finally {
            playerLoops.shutdownGracefully(0, 2, TimeUnit.SECONDS);
            boxLoops.shutdownGracefully(0, 2, TimeUnit.SECONDS);
        }
    }

    /** The row files of a run; without a folder there are none. */
    private static final class RunRows implements AutoCloseable {
        private final Path folder;
        private final ParquetRows<SecondRow> seconds;
        private final ParquetRows<CountRow> counts;

        RunRows(Path folder) throws IOException {
            this.folder = folder;
            if (folder != null) {
                Files.createDirectories(folder);
            }
            seconds = folder == null ? null : new ParquetRows<>(folder.resolve(SECONDS), SecondRow.class);
            counts = folder == null ? null : new ParquetRows<>(folder.resolve(COUNTS), CountRow.class);
        }

        void viewers(Judgement judged, double began) throws IOException {
            if (folder != null) {
                try (ParquetRows<ViewerRow> viewers = new ParquetRows<>(folder.resolve(VIEWERS), ViewerRow.class);
                        ParquetRows<EndRow> ends = new ParquetRows<>(folder.resolve(ENDS), EndRow.class)) {
                    judged.viewers()
                            .viewers()
                            .forEach(v -> viewers.add(new ViewerRow(
                                    v.name(),
                                    v.serviceClass(),
                                    v.arrivedMs() - began,
                                    v.played() ? v.waitMs() : -1,
                                    v.requests(),
                                    v.departureReason() == null ? "" : v.departureReason())));
                    judged.ends()
                            .forEach(end -> ends.add(new EndRow(
                                    (int) Math.max(0, Math.ceil((end.t() - began) / 1000)),
                                    end.serviceClass(),
                                    end.cause().name().toLowerCase(Locale.ROOT).replace('_', ' '))));
                }
            }
        }

        @Override
        public void close() throws IOException {
            if (seconds != null) {
                seconds.close();
                counts.close();
            }
        }
    }

    private void play(
            EventLoop loop,
            ViewerLoadGenerator crowd,
            FaultInjector director,
            FrontProcesses fronts,
            BoxFleet fleet,
            RunRows rows)
            throws InterruptedException {
        CountDownLatch over = new CountDownLatch(1);
        loop.execute(() -> {
            crowd.start();
            director.start();
        });
        double length = day.lengthMs() + day.tailMs();
        loop.schedule(over::countDown, (long) length, TimeUnit.MILLISECONDS);
        // Asking the system for each front's CPU time takes its while: not on the loop that shapes bytes.
        Thread sampler = new Thread(
                () -> {
                    while (over.getCount() > 0) {
                        fronts.sampleCpu();
                        try {
                            if (over.await(CPU_MS, TimeUnit.MILLISECONDS)) {
                                return;
                            }
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                },
                "sampler");
        sampler.setDaemon(true);
        sampler.start();
        Recorder recorder = rows.counts == null ? null : new Recorder(crowd.stats(), () -> playing(fleet), rows.counts);
        var recording = loop.scheduleAtFixedRate(
                () -> {
                    if (recorder != null) {
                        recorder.second();
                    }
                },
                1,
                1,
                TimeUnit.SECONDS);
        long[] passed = {0};
        var telling = loop.scheduleAtFixedRate(
                () -> {
                    passed[0] += PROGRESS_MS;
                    say(String.format(
                            Locale.ROOT,
                            "%3d s  asked %d, plays %d, refused %d, failed %d, playing now %d",
                            passed[0] / 1000,
                            crowd.stats().requests.sum(),
                            crowd.stats().plays.sum(),
                            crowd.stats().refused.sum(),
                            crowd.stats().failed.sum(),
                            playing(fleet)));
                },
                PROGRESS_MS,
                PROGRESS_MS,
                TimeUnit.MILLISECONDS);
        over.await();
        recording.cancel(false);
        telling.cancel(false);
    }

    private static long playing(BoxFleet fleet) {
        return fleet.boxes().stream().mapToInt(StandinBox::activeSessions).sum();
    }

    private void say(String text) {
        progress.println("  " + text);
        progress.flush();
    }

    private StandinRegistry registry(EventLoop loop, EventRecorder tap, BoxFleet fleet) {
        StandinRegistry registry = new StandinRegistry(loop, tap, seed);
        registry.addTitlesOf(day, seed);
        registry.addBoxes(fleet.entries());
        return registry;
    }

    private Issuer issuer() throws IOException {
        try {
            Issuer issuer = Issuer.generate("rehearsal");
            Files.createDirectories(folder);
            Issuer.writeVerificationKeys(folder.resolve("keys.json"), issuer);
            return issuer;
        } catch (JOSEException e) {
            throw new IOException("no key could be made: " + e.getMessage(), e);
        }
    }
}
