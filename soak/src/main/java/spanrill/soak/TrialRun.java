package spanrill.soak;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import spanrill.soak.Trial.Fault;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;

/** Plays one trial: starts the peers and the nodes, carries the faults out, and judges what was seen. */
public final class TrialRun {
    private static final double READY_LOOK_MS = 40;
    private static final long READY_WITHIN_S = 30;
    private static final double TICK_MS = 10;
    /** Peers that are later than this by their own scheduling can't be trusted with limits of 50 ms. */
    private static final double MOST_LAG_MS = 100;

    private static final double AFTER_KILL_MS = 150;
    private static final int CROWD = 300;
    private static final double LEAST_UPTIME_MS = 1000;

    private final Trial trial;
    private final Path folder;
    private final EventLog log = new EventLog();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Timers timers = new Timers(loop);
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final Discovery discovery;
    private final ServerFleet fleet;
    private final ClientPopulation clients;
    private final CountDownLatch allReady;
    private double tickedAt;
    private double mostLagMs;
    private boolean ending;

    private TrialRun(Trial trial, NodeLaunchCommand command, Path folder) throws IOException {
        this.trial = trial;
        this.folder = folder;
        SplittableRandom random = new SplittableRandom(~trial.seed());
        discovery = new Discovery(trial, loop, log, timers);
        fleet = new ServerFleet(trial, loop, log, random.split(), discovery, timers);
        for (int i = 0; i < trial.nodes(); i++) {
            nodes.add(new NodeProcess(i, command, folder));
        }
        clients = new ClientPopulation(trial, nodes, loop, log, random.split(), timers);
        allReady = new CountDownLatch(trial.nodes());
    }

    /** Plays a trial; files of its processes and the log of its events are left in the folder. */
    public static TrialResult play(Trial trial, NodeLaunchCommand command, Path folder)
            throws IOException, InterruptedException {
        Files.createDirectories(folder);
        return new TrialRun(trial, command, folder).play();
    }

    private TrialResult play() throws IOException, InterruptedException {
        try {
            fleet.start();
            onLoop(() -> nodes.forEach(this::start));
            if (!allReady.await(READY_WITHIN_S, TimeUnit.SECONDS)) {
                return result("not all nodes were ready within " + READY_WITHIN_S + " s");
            }
            onLoop(this::begin);
            double endsMs = trial.lengthMs() + trial.killAfterMs() + AFTER_KILL_MS;
            Thread.sleep((long) endsMs);
            onLoop(() -> {
                clients.stop();
                timers.stop();
            });
            for (NodeProcess node : nodes) {
                node.awaitEnd();
            }
            return result(mostLagMs > MOST_LAG_MS ? "its own peers were " + Math.round(mostLagMs) + " ms late" : "");
        } finally {
            for (NodeProcess node : nodes) {
                if (node.alive()) {
                    node.kill();
                }
            }
            fleet.stop();
            discovery.stop();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    private void onLoop(Runnable action) throws InterruptedException {
        loop.submit(action).sync();
    }

    private TrialResult result(String voidReason) throws IOException, InterruptedException {
        List<SoakEvent> events = new ArrayList<>();
        onLoop(() -> events.addAll(log.all()));
        Files.write(
                folder.resolve("events.log"),
                events.stream().map(SoakEvent::line).toList());
        List<Violation> violations = new ArrayList<>(new Judge(trial, events).violations());
        violations.addAll(exceptions());
        return new TrialResult(trial, violations, events, voidReason, mostLagMs, folder);
    }

    /** Exceptions in the logs of the nodes. */
    private List<Violation> exceptions() throws IOException {
        List<Violation> found = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.getFileName().toString().matches("n\\d+-\\d+\\.log"))
                    .toList()) {
                Files.readAllLines(file).stream()
                        .filter(line ->
                                line.contains("core.fault") || line.contains("Exception") || line.contains("Error"))
                        .findFirst()
                        .ifPresent(
                                line -> found.add(new Violation(Rule.CRASH, 0, 0, file.getFileName() + ": " + line)));
            }
        }
        return found;
    }

    // ---- the load and the faults

    private void begin() {
        tickedAt = log.now();
        timers.every(TICK_MS, this::tick);
        clients.start();
        for (Fault fault : trial.faults()) {
            timers.after(fault.atMs(), () -> carryOut(fault));
        }
        timers.after(trial.lengthMs(), () -> {
            ending = true;
            nodes.forEach(this::endProcess);
        });
    }

    private void endProcess(NodeProcess node) {
        if (node.phase() == NodeProcess.Phase.STARTING) {
            log.add(EventKind.NODE_KILL, node.index(), "", 0);
            node.kill();
        } else {
            terminate(node, 0);
        }
    }

    private void tick() {
        double now = log.now();
        mostLagMs = Math.max(mostLagMs, now - tickedAt - TICK_MS);
        tickedAt = now;
    }

    private void carryOut(Fault fault) {
        if (ending) {
            return;
        }
        log.add(EventKind.FAULT, fault.target(), fault.kind().name(), (int) fault.lengthMs());
        NodeProcess node = nodes.get(fault.target() % nodes.size());
        switch (fault.kind()) {
            case NODE_TERMINATED -> terminate(node, fault.lengthMs());
            case NODE_KILLED -> killed(node, fault.lengthMs());
            case NODE_RECONFIGURED -> reconfigure(node);
            case NODE_PAUSED -> pause(node, fault.lengthMs());
            case DISCOVERY_CUT, DISCOVERY_FROZEN, DISCOVERY_DOWN, DISCOVERY_MUTE -> discovery.fault(fault);
            case CLIENT_CROWD -> crowd(node, fault.lengthMs());
            case BAD_CLIENT -> {
                NodeProcess any = nodes.get((int) (fault.atMs()) % nodes.size());
                if (any.phase() == NodeProcess.Phase.READY) {
                    BadClient.send(BadClient.Habit.values()[fault.target()], any, loop, log);
                }
            }
            default -> fleet.fault(fault);
        }
    }

    /** One connection a millisecond: all at once would make the peers themselves late. */
    private void crowd(NodeProcess node, double lengthMs) {
        for (int i = 0; i < CROWD; i++) {
            timers.after(i, () -> connectSilently(node, lengthMs));
        }
    }

    private void connectSilently(NodeProcess node, double lengthMs) {
        Sockets.connect(loop, node.address(), new ChannelInboundHandlerAdapter() {
            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                ctx.channel().eventLoop().schedule(() -> ctx.close(), (long) lengthMs, TimeUnit.MILLISECONDS);
            }
        });
    }

    // ---- processes

    private void start(NodeProcess node) {
        try {
            writeConfig(node);
            log.add(EventKind.NODE_STARTED, node.index(), "", 0);
            Process process = node.start(log.now());
            process.onExit().thenAccept(ended -> loop.execute(() -> exited(node, ended)));
            awaitReady(node, process);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void writeConfig(NodeProcess node) throws IOException {
        NodeConfigFile.write(
                node.configFile(),
                trial,
                node.index(),
                node.address(),
                discovery.of(node.index()).port(),
                discovery.known(node.index()));
    }

    private void exited(NodeProcess node, Process process) {
        log.add(EventKind.NODE_EXIT, node.index(), "", process.exitValue());
        node.phase(NodeProcess.Phase.DOWN, log.now());
    }

    private void awaitReady(NodeProcess node, Process process) {
        if (!process.isAlive() || node.phase() != NodeProcess.Phase.STARTING) {
            return;
        }
        Sockets.connect(loop, node.address(), new ReadyTest(() -> {
            if (node.phase() == NodeProcess.Phase.STARTING && process.isAlive()) {
                node.phase(NodeProcess.Phase.READY, log.now());
                log.add(EventKind.NODE_READY, node.index(), "", 0);
                clients.ready(node);
                allReady.countDown();
            }
        }));
        loop.schedule(() -> awaitReady(node, process), (long) READY_LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void terminate(NodeProcess node, double downMs) {
        if (node.phase() != NodeProcess.Phase.READY) {
            return;
        }
        log.add(EventKind.NODE_TERM, node.index(), "", 0);
        node.phase(NodeProcess.Phase.STOPPING, log.now());
        node.terminate();
        timers.after(trial.killAfterMs(), () -> {
            if (node.alive()) {
                log.add(EventKind.NODE_KILL, node.index(), "", 0);
                node.kill();
            }
            restartLater(node, downMs);
        });
    }

    private void killed(NodeProcess node, double downMs) {
        if (node.phase() == NodeProcess.Phase.READY) {
            log.add(EventKind.NODE_KILL, node.index(), "", 0);
            node.kill();
            restartLater(node, downMs);
        }
    }

    private void restartLater(NodeProcess node, double downMs) {
        timers.after(downMs, () -> {
            if (node.alive()) {
                restartLater(node, TICK_MS);
            } else if (!ending) {
                start(node);
            }
        });
    }

    private void pause(NodeProcess node, double lengthMs) {
        if (node.phase() != NodeProcess.Phase.READY) {
            return;
        }
        signal(node, true);
        // Also past the end of the trial: a stopped process hears no other signal.
        loop.schedule(() -> signal(node, false), (long) lengthMs, TimeUnit.MILLISECONDS);
    }

    private static void signal(NodeProcess node, boolean pauses) {
        try {
            if (node.alive()) {
                node.pause(pauses);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void reconfigure(NodeProcess node) {
        boolean may = node.phase() == NodeProcess.Phase.READY && log.now() - node.changedAt() > LEAST_UPTIME_MS;
        if (!may) {
            return;
        }
        discovery.of(node.index()).move(() -> {
            try {
                writeConfig(node);
                log.add(EventKind.NODE_HUP, node.index(), "", 0);
                node.hangUp();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** Asks for a test; the first that is passed says that a node is ready. */
    private static final class ReadyTest extends ChannelInboundHandlerAdapter {
        private final Runnable passed;

        ReadyTest(Runnable passed) {
            this.passed = passed;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            new PacedWriter(ctx.channel(), new SplittableRandom(1))
                    .write(new Message(MessageType.TEST, 1).withCause(0));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object part) {
            ((io.netty.buffer.ByteBuf) part).release();
            ctx.close();
            passed.run();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
