package spanrill.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import spanrill.Control;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.decisions.ConnectionBudget;
import spanrill.decisions.FailureDetector;
import spanrill.decisions.FileDescriptorBudget;
import spanrill.decisions.GracefulShutdown;
import spanrill.decisions.PauseMonitor;
import spanrill.loop.Clock;
import spanrill.loop.EventLoopScheduler;
import spanrill.loop.NextIterationExecutor;
import spanrill.loop.PeriodicTask;
import spanrill.node.client.ClientListener;
import spanrill.node.config.AddressOwners;
import spanrill.node.config.NodeConfig;
import spanrill.node.config.ServerListUpdate;
import spanrill.node.discovery.DiscoveryClient;
import spanrill.node.server.ConnectionPools;
import spanrill.node.server.ServerLimits;
import spanrill.node.session.SessionHost;
import spanrill.session.EventSink;
import spanrill.session.Scheduler;

/**
 * A running front node: viewer connections, sessions, server connections and discovery on one event loop.
 */
public final class FrontNode implements AutoCloseable {
    private static final long SHUTDOWN_CHECK_INTERVAL_MS = 20;
    private static final long PAUSE_CHECK_INTERVAL_MS = 20;
    private static final long CATCH_UP_CHECK_INTERVAL_MS = 5;
    private static final long NO_ACCEPTED_COUNT = -1;
    private static final double MIN_LOGGED_PAUSE_MS = 100;
    // The loop accepts and reads a limited number of connections and buffers in one iteration.
    private static final int READS_AFTER_PAUSE = 8;
    private static final long COUNTERS_LOG_INTERVAL_MS = 10_000;
    // Caps max_streams of the settings: one unreadable answer fails every set-up that is open on its connection.
    private static final int MAX_SET_UPS_PER_CONNECTION = 32;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final NextIterationExecutor nextIteration = new NextIterationExecutor(loop);
    private final NodeConfig config;
    private final EventSink log;
    private final Scheduler scheduler;
    private final ClientListener viewers;
    private final ConnectionPools servers;
    private final SessionHost host;
    private final DiscoveryClient discovery;
    private volatile Channel listening;
    private final List<ServerListUpdate> updatesBeforeStart = new ArrayList<>();
    private final AddressOwners addressOwners = new AddressOwners();
    private boolean moduleStarted;
    private final PauseMonitor pauses = new PauseMonitor(PAUSE_CHECK_INTERVAL_MS);
    private int readsAfterPause;
    private PeriodicTask shutdownTimer;

    private FrontNode(NodeConfig config, EventSink log, EventSink trace, Runnable startUpTask) {
        this.config = config;
        this.log = log;
        scheduler = new EventLoopScheduler(loop, new Clock());
        FileDescriptorBudget descriptorBudget = new FileDescriptorBudget(config.sockets());
        viewers = new ClientListener(
                loop,
                new ConnectionBudget(descriptorBudget.maxViewerConnections()),
                pauses,
                config.retryAfterAllowed(),
                log,
                trace);
        servers = new ConnectionPools(
                loop, serverLimits(config), new ConnectionBudget(descriptorBudget.maxServerConnections()), log, trace);
        host = new SessionHost(
                config.settings(),
                scheduler,
                log,
                trace,
                servers,
                viewers::releaseLinks,
                actions -> new Control(config.settings(), config.seed(), actions));
        discovery = new DiscoveryClient(
                loop, log, config.discovery(), config.lastKnownUpdate(), config.seed(), this::onServerListUpdate);
        loop.scheduleWithFixedDelay(this::checkPause, 0, PAUSE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        loop.submit(discovery::start).syncUninterruptibly();
        startUpTask.run();
        Promise<Void> caughtUp = loop.newPromise();
        loop.execute(() -> checkCaughtUp(caughtUp));
        caughtUp.awaitUninterruptibly();
        loop.submit(() -> startModule(config.knownUpdates())).syncUninterruptibly();
    }

    /**
     * Starts to accept client connections.
     *
     * @throws IOException when the listening address cannot be bound; the node is then closed
     */
    public void listen() throws IOException {
        ChannelFuture bindFuture = viewers.bind(group, config.listen(), host).awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            close();
            throw new IOException("cannot listen on " + config.listen() + ": "
                    + bindFuture.cause().getMessage());
        }
        listening = bindFuture.channel();
    }

    private static ServerLimits serverLimits(NodeConfig config) {
        return new ServerLimits(
                (int) Math.ceil(config.connectTimeoutMs()),
                config.serverIdleTimeoutMs(),
                FailureDetector.silenceThresholdMs(
                        config.settings().tellMs(), config.settings().seeMs()),
                Math.min(MAX_SET_UPS_PER_CONNECTION, config.maxStreams()),
                config.probingAllowed());
    }

    /**
     * Creates a node and starts to accept client connections.
     *
     * @throws IOException when the listening address cannot be bound
     */
    public static FrontNode start(NodeConfig config, EventSink log, EventSink trace) throws IOException {
        return start(config, log, trace, () -> {});
    }

    /**
     * Creates a node, runs {@code startUpTask} and starts to accept client connections.
     *
     * @throws IOException when the listening address cannot be bound
     */
    static FrontNode start(NodeConfig config, EventSink log, EventSink trace, Runnable startUpTask) throws IOException {
        FrontNode node = prepare(config, log, trace, startUpTask);
        node.listen();
        return node;
    }

    /**
     * Creates a node that does not accept client connections yet. Server list updates that discovery published
     * before the start are binding, so discovery is queried first. Returns once those updates are applied, or
     * cannot be obtained, and {@code startUpTask} has run while the query was under way.
     */
    public static FrontNode prepare(NodeConfig config, EventSink log, EventSink trace, Runnable startUpTask) {
        return new FrontNode(config, log, trace, startUpTask);
    }

    private void checkPause() {
        double pauseMs = pauses.onCheck(Clock.monotonicMs());
        if (pauseMs == 0) {
            return;
        }
        boolean reading = readsAfterPause > 0;
        readsAfterPause = READS_AFTER_PAUSE;
        if (!reading) {
            nextIteration.execute(this::onReadAfterPause);
        }
        if (pauseMs >= MIN_LOGGED_PAUSE_MS) {
            log.info("node.pause", "ms", Math.round(pauseMs), "open", host.openRequests());
        }
    }

    private void onReadAfterPause() {
        readsAfterPause--;
        if (readsAfterPause > 0) {
            nextIteration.execute(this::onReadAfterPause);
        } else {
            pauses.onInputRead(Clock.monotonicMs());
        }
    }

    private void checkCaughtUp(Promise<Void> caughtUp) {
        if (discovery.caughtUp()) {
            caughtUp.setSuccess(null);
        } else {
            loop.schedule(() -> checkCaughtUp(caughtUp), CATCH_UP_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void startModule(List<ServerListUpdate> knownUpdates) {
        host.start();
        servers.start(host);
        knownUpdates.forEach(update -> applyUpdate(update, update.complete() ? ListKind.KEPT : ListKind.CHANGES));
        moduleStarted = true;
        PeriodicTask.start(loop, COUNTERS_LOG_INTERVAL_MS, log, "counters", host::logCounters);
        updatesBeforeStart.forEach(this::onServerListUpdate);
        updatesBeforeStart.clear();
    }

    /** Takes an update from discovery; one that arrives before the module is started is applied at the start. */
    private void onServerListUpdate(ServerListUpdate update) {
        if (moduleStarted) {
            applyUpdate(update, update.complete() ? ListKind.WHOLE : ListKind.CHANGES);
        } else {
            if (update.complete()) {
                updatesBeforeStart.clear();
            }
            updatesBeforeStart.add(update);
        }
    }

    private void applyUpdate(ServerListUpdate update, ListKind kind) {
        if (kind != ListKind.CHANGES) {
            retainOnly(update);
        }
        List<Server> listed = new ArrayList<>();
        for (ServerListUpdate.Member member : update.members()) {
            listed.add(member.server());
            ServerListUpdate.Member replaced = addressOwners.apply(member);
            if (replaced != member) {
                applyMember(member);
            }
            if (replaced != null) {
                Server gone = replaced.server().inState(ServerState.GONE);
                log.info("server.replaced", "server", gone.id(), "address", replaced.address());
                listed.add(gone);
                servers.onServerReplaced(gone.id());
            }
        }
        host.updateServers(kind, listed);
        // After the module has the new list: it sends withdrawn attempts to other servers.
        servers.withdrawAttempts();
        log.info(
                "discovery.update",
                "no",
                update.number(),
                "kind",
                kind,
                "serving",
                update.count(ServerState.READY),
                "draining",
                update.count(ServerState.DRAINING),
                "gone",
                update.count(ServerState.GONE));
    }

    private void retainOnly(ServerListUpdate update) {
        Set<String> listedIds = new HashSet<>();
        update.members().forEach(member -> listedIds.add(member.server().id()));
        addressOwners.retainOnly(listedIds);
        servers.retainOnly(listedIds);
    }

    private void applyMember(ServerListUpdate.Member member) {
        Server server = member.server();
        if (server.state() == ServerState.GONE) {
            servers.onServerGone(server.id());
            return;
        }
        servers.onServerListed(server.id(), member.address(), server.state() == ServerState.DRAINING);
        if (!Double.isNaN(server.startedAt())) {
            host.onServerRestarted(server.id(), server.startedAt());
        }
    }

    /** Applies a new configuration: only the address of discovery can change while the node runs. */
    public void reconfigure(NodeConfig newConfig) {
        loop.execute(() -> discovery.reconnectTo(newConfig.discovery()));
    }

    /**
     * Shuts down in the stages of {@link GracefulShutdown}, then calls {@code done} once, which has to end the
     * process. A second call has no effect.
     */
    public void stop(Runnable done) {
        loop.execute(() -> {
            if (shutdownTimer != null) {
                return;
            }
            // The signal may have been sent at the beginning of a pause, and SIGKILL follows its sending.
            GracefulShutdown shutdown =
                    new GracefulShutdown(config.maxDeadlineMs(), pauses.maxSignalWaitMs(Clock.monotonicMs()));
            double stopRequestedAt = scheduler.now() - shutdown.signalWaitMs();
            host.answerWithin(shutdown.answerDeadlineMs() - shutdown.signalWaitMs());
            shutdownTimer = PeriodicTask.start(
                    loop, SHUTDOWN_CHECK_INTERVAL_MS, log, "shutdown", () -> stop(shutdown, stopRequestedAt, done));
        });
    }

    private void stop(GracefulShutdown shutdown, double stopRequestedAt, Runnable done) {
        double elapsedMs = scheduler.now() - stopRequestedAt;
        switch (shutdown.nextStep(
                elapsedMs,
                new GracefulShutdown.View(
                        viewers.size(),
                        host.openRequests(),
                        host.movingSessions() + servers.poolsWithPendingReleases(),
                        viewers.hasUnflushed() || servers.hasUnflushed()))) {
            // Input that has arrived is read before the connections drain, so that no request is left unread when its
            // connection closes.
            case DRAIN ->
                nextIteration.execute(
                        () -> drain(shutdown, stopRequestedAt + shutdown.answerDeadlineMs(), NO_ACCEPTED_COUNT));
            case END -> {
                shutdownTimer.cancel();
                log.info(
                        "shutdown.end",
                        "afterMs",
                        Math.round(elapsedMs),
                        "connections",
                        viewers.size(),
                        "open",
                        host.openRequests());
                done.run();
            }
            default -> {}
        }
    }

    /**
     * Closes the listener and drains all connections once a loop iteration has accepted no new connection, or at the
     * answer deadline. Closing the listener earlier would reset connections that wait to be accepted.
     */
    private void drain(GracefulShutdown shutdown, double answerDeadline, long previouslyAccepted) {
        long accepted = viewers.accepted();
        if (accepted != previouslyAccepted && scheduler.now() < answerDeadline) {
            nextIteration.execute(() -> drain(shutdown, answerDeadline, accepted));
            return;
        }
        log.info("shutdown.drain", "connections", viewers.size(), "open", host.openRequests());
        if (listening != null) {
            listening.close();
        }
        viewers.shutDown(Math.max(0, answerDeadline - scheduler.now()));
        shutdown.onDraining();
    }

    /** Returns the address on which the node accepts client connections. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Returns the number of sessions, requested or established. May be called from any thread but the event loop. */
    public int sessionCount() {
        return loop.submit(host::sessionCount).syncUninterruptibly().getNow();
    }

    /** Returns the event loop of the node; tests block it so that several messages are read in one iteration. */
    EventLoop eventLoop() {
        return loop;
    }

    /** True while sent bytes wait in buffers of this process. May be called from any thread but the event loop. */
    boolean hasUnflushed() {
        return loop.submit(() -> viewers.hasUnflushed() || servers.hasUnflushed())
                .syncUninterruptibly()
                .getNow();
    }

    /** Waits until the node is closed. */
    public void join() throws InterruptedException {
        group.terminationFuture().await();
    }

    /** Stops the event loop at once, without a drain. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
