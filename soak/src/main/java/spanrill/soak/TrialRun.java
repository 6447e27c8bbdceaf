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

/** Runs one trial: starts the peers and the nodes, injects the faults and checks the recorded events. */
public final class TrialRun {
    private static final double READY_POLL_MS = 40;
    private static final long READY_TIMEOUT_S = 30;
    private static final double TICK_PERIOD_MS = 10;
    /**
     * Maximum timer delay of the peers, ms. A trial with a longer delay is void, because it cannot check limits with a
     * tolerance of 50 ms.
     */
    private static final double MAX_PEER_LAG_MS = 100;

    private static final double POST_KILL_WAIT_MS = 150;
    private static final int CROWD_CONNECTIONS = 300;
    private static final double MIN_READY_BEFORE_RECONFIGURE_MS = 1000;

    private final Trial trial;
    private final Path directory;
    private final EventLog log = new EventLog();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Timers timers = new Timers(loop);
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final FakeDiscovery discovery;
    private final ServerFleet fleet;
    private final ClientPopulation clients;
    private final CountDownLatch nodesNotReady;
    private double lastTickAtMs;
    private double maxLagMs;
    private boolean stopping;

    private TrialRun(Trial trial, NodeLaunchCommand command, Path directory) throws IOException {
        this.trial = trial;
        this.directory = directory;
        SplittableRandom random = new SplittableRandom(~trial.seed());
        discovery = new FakeDiscovery(trial, loop, log, timers);
        fleet = new ServerFleet(trial, loop, log, random.split(), discovery, timers);
        for (int i = 0; i < trial.nodes(); i++) {
            nodes.add(new NodeProcess(i, command, directory));
        }
        clients = new ClientPopulation(trial, nodes, loop, log, random.split(), timers);
        nodesNotReady = new CountDownLatch(trial.nodes());
    }

    /** Runs a trial. The directory keeps the files of the node processes and the event log. */
    public static TrialResult run(Trial trial, NodeLaunchCommand command, Path directory)
            throws IOException, InterruptedException {
        Files.createDirectories(directory);
        return new TrialRun(trial, command, directory).run();
    }

    private TrialResult run() throws IOException, InterruptedException {
        try {
            fleet.start();
            onLoop(() -> nodes.forEach(this::startNode));
            if (!nodesNotReady.await(READY_TIMEOUT_S, TimeUnit.SECONDS)) {
                return result("not all nodes were ready within " + READY_TIMEOUT_S + " s");
            }
            onLoop(this::startLoad);
            double totalMs = trial.lengthMs() + trial.killAfterMs() + POST_KILL_WAIT_MS;
            Thread.sleep((long) totalMs);
            onLoop(() -> {
                clients.stop();
                timers.stop();
            });
            for (NodeProcess node : nodes) {
                node.awaitExit();
            }
            return result(
                    maxLagMs > MAX_PEER_LAG_MS
                            ? "timers of the test peers were up to " + Math.round(maxLagMs) + " ms late"
                            : "");
        } finally {
            for (NodeProcess node : nodes) {
                if (node.isAlive()) {
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
        onLoop(() -> events.addAll(log.snapshot()));
        Files.write(
                directory.resolve("events.log"),
                events.stream().map(SoakEvent::format).toList());
        List<Violation> violations = new ArrayList<>(new ProtocolChecker(trial, events).violations());
        violations.addAll(loggedExceptions());
        return new TrialResult(trial, violations, events, voidReason, maxLagMs, directory);
    }

    /** Returns a violation for each node log with an exception; it quotes the first such line. */
    private List<Violation> loggedExceptions() throws IOException {
        List<Violation> violations = new ArrayList<>();
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.filter(f -> f.getFileName().toString().matches("n\\d+-\\d+\\.log"))
                    .toList()) {
                Files.readAllLines(file).stream()
                        .filter(line ->
                                line.contains("core.fault") || line.contains("Exception") || line.contains("Error"))
                        .findFirst()
                        .ifPresent(line ->
                                violations.add(new Violation(Rule.CRASH, 0, 0, file.getFileName() + ": " + line)));
            }
        }
        return violations;
    }

    // ---- load and faults

    private void startLoad() {
        lastTickAtMs = log.elapsedMs();
        timers.scheduleRepeating(TICK_PERIOD_MS, this::measureLag);
        clients.start();
        for (Fault fault : trial.faults()) {
            timers.schedule(fault.atMs(), () -> injectFault(fault));
        }
        timers.schedule(trial.lengthMs(), () -> {
            stopping = true;
            nodes.forEach(this::stopNode);
        });
    }

    private void stopNode(NodeProcess node) {
        if (node.phase() == NodeProcess.Phase.STARTING) {
            log.add(EventKind.NODE_KILL, node.index(), "", 0);
            node.kill();
        } else {
            terminateNode(node, 0);
        }
    }

    private void measureLag() {
        double nowMs = log.elapsedMs();
        maxLagMs = Math.max(maxLagMs, nowMs - lastTickAtMs - TICK_PERIOD_MS);
        lastTickAtMs = nowMs;
    }

    private void injectFault(Fault fault) {
        if (stopping) {
            return;
        }
        log.add(EventKind.FAULT, fault.target(), fault.kind().name(), (int) fault.lengthMs());
        NodeProcess node = nodes.get(fault.target() % nodes.size());
        switch (fault.kind()) {
            case NODE_TERMINATED -> terminateNode(node, fault.lengthMs());
            case NODE_KILLED -> killNode(node, fault.lengthMs());
            case NODE_RECONFIGURED -> reconfigureNode(node);
            case NODE_PAUSED -> pauseFor(node, fault.lengthMs());
            case DISCOVERY_CUT,
                    DISCOVERY_FROZEN,
                    DISCOVERY_DOWN,
                    DISCOVERY_MUTE,
                    DISCOVERY_SLOW,
                    DISCOVERY_UNREACHABLE -> discovery.injectFault(fault);
            case CLIENT_CROWD -> openCrowd(node, fault.lengthMs());
            case BAD_CLIENT -> {
                NodeProcess targetNode = nodes.get((int) (fault.atMs()) % nodes.size());
                if (targetNode.phase() == NodeProcess.Phase.READY) {
                    BadClient.connect(BadClient.Scenario.values()[fault.target()], targetNode, loop, log);
                }
            }
            default -> fleet.injectFault(fault);
        }
    }

    /** Opens one connection per millisecond, since opening all at once would delay the event loop of the peers. */
    private void openCrowd(NodeProcess node, double durationMs) {
        for (int i = 0; i < CROWD_CONNECTIONS; i++) {
            timers.schedule(i, () -> openSilentConnection(node, durationMs));
        }
    }

    private void openSilentConnection(NodeProcess node, double durationMs) {
        Sockets.connect(loop, node.address(), new ChannelInboundHandlerAdapter() {
            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                ctx.channel().eventLoop().schedule(() -> ctx.close(), (long) durationMs, TimeUnit.MILLISECONDS);
            }
        });
    }

    // ---- processes

    private void startNode(NodeProcess node) {
        try {
            writeConfig(node);
            log.add(EventKind.NODE_STARTED, node.index(), "", 0);
            Process process = node.start(log.elapsedMs());
            process.onExit().thenAccept(exitedProcess -> loop.execute(() -> onExit(node, exitedProcess)));
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
                discovery.endpoint(node.index()).port(),
                discovery.knownEventsJson(node.index()));
    }

    private void onExit(NodeProcess node, Process process) {
        log.add(EventKind.NODE_EXIT, node.index(), "", process.exitValue());
        node.enterPhase(NodeProcess.Phase.DOWN, log.elapsedMs());
    }

    private void awaitReady(NodeProcess node, Process process) {
        if (!process.isAlive() || node.phase() != NodeProcess.Phase.STARTING) {
            return;
        }
        Sockets.connect(loop, node.address(), new ReadinessProbe(() -> {
            if (node.phase() == NodeProcess.Phase.STARTING && process.isAlive()) {
                node.enterPhase(NodeProcess.Phase.READY, log.elapsedMs());
                log.add(EventKind.NODE_READY, node.index(), "", 0);
                clients.onNodeReady(node);
                nodesNotReady.countDown();
            }
        }));
        loop.schedule(() -> awaitReady(node, process), (long) READY_POLL_MS, TimeUnit.MILLISECONDS);
    }

    private void terminateNode(NodeProcess node, double restartDelayMs) {
        if (node.phase() != NodeProcess.Phase.READY) {
            return;
        }
        log.add(EventKind.NODE_TERM, node.index(), "", 0);
        node.enterPhase(NodeProcess.Phase.STOPPING, log.elapsedMs());
        node.terminate();
        timers.schedule(trial.killAfterMs(), () -> {
            if (node.isAlive()) {
                log.add(EventKind.NODE_KILL, node.index(), "", 0);
                node.kill();
            }
            scheduleRestart(node, restartDelayMs);
        });
    }

    private void killNode(NodeProcess node, double restartDelayMs) {
        if (node.phase() == NodeProcess.Phase.READY) {
            log.add(EventKind.NODE_KILL, node.index(), "", 0);
            node.kill();
            scheduleRestart(node, restartDelayMs);
        }
    }

    private void scheduleRestart(NodeProcess node, double restartDelayMs) {
        timers.schedule(restartDelayMs, () -> {
            if (node.isAlive()) {
                scheduleRestart(node, TICK_PERIOD_MS);
            } else if (!stopping) {
                startNode(node);
            }
        });
    }

    private void pauseFor(NodeProcess node, double durationMs) {
        if (node.phase() != NodeProcess.Phase.READY) {
            return;
        }
        setPaused(node, true);
        // Timers drops actions after the end of the trial, but the node must be resumed even then: while paused it does
        // not handle SIGTERM.
        loop.schedule(() -> setPaused(node, false), (long) durationMs, TimeUnit.MILLISECONDS);
    }

    private void setPaused(NodeProcess node, boolean paused) {
        try {
            if (!node.isAlive()) {
                return;
            }
            if (paused) {
                log.add(EventKind.NODE_STOPPED, node.index(), "", 0);
                node.setPaused(true);
            } else {
                node.setPaused(false)
                        .thenRun(() -> loop.execute(() -> log.add(EventKind.NODE_CONTINUED, node.index(), "", 0)));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void reconfigureNode(NodeProcess node) {
        boolean allowed = node.phase() == NodeProcess.Phase.READY
                && log.elapsedMs() - node.phaseSinceMs() > MIN_READY_BEFORE_RECONFIGURE_MS;
        if (!allowed) {
            return;
        }
        discovery.endpoint(node.index()).moveToNewPort(() -> {
            try {
                writeConfig(node);
                log.add(EventKind.NODE_HUP, node.index(), "", 0);
                node.hangUp();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** Sends a test message to a node and reports the node as ready when any bytes are received. */
    private static final class ReadinessProbe extends ChannelInboundHandlerAdapter {
        private final Runnable onReady;

        ReadinessProbe(Runnable onReady) {
            this.onReady = onReady;
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
            onReady.run();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
