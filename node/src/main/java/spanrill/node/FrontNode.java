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
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import spanrill.Control;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.decisions.ConnectionBudget;
import spanrill.decisions.FailureDetector;
import spanrill.decisions.FileDescriptorBudget;
import spanrill.decisions.GracefulShutdown;
import spanrill.loop.Clock;
import spanrill.loop.EventLoopScheduler;
import spanrill.loop.NextIterationExecutor;
import spanrill.node.client.ClientListener;
import spanrill.node.config.NodeConfig;
import spanrill.node.config.ServerListUpdate;
import spanrill.node.discovery.DiscoveryClient;
import spanrill.node.server.ConnectionPools;
import spanrill.node.server.ServerLimits;
import spanrill.node.session.SessionHost;
import spanrill.session.EventSink;
import spanrill.session.Scheduler;

/** A front node that runs: one event loop with viewers, sessions, servers and discovery. */
public final class FrontNode implements AutoCloseable {
    private static final long STOP_LOOK_MS = 20;
    private static final long START_LOOK_MS = 5;
    private static final long NONE_ACCEPTED = -1;
    // Set-ups that one answer which can't be read may spoil, where the settings allow more.
    private static final int MOST_ON_ONE = 32;

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
    private final List<ServerListUpdate> early = new ArrayList<>();
    private boolean begun;
    private ScheduledFuture<?> stopping;

    private FrontNode(NodeConfig config, EventSink log, EventSink trace, Runnable meanwhile) {
        this.config = config;
        this.log = log;
        scheduler = new EventLoopScheduler(loop, new Clock());
        FileDescriptorBudget shares = new FileDescriptorBudget(config.sockets());
        viewers = new ClientListener(
                loop, new ConnectionBudget(shares.maxViewerConnections()), config.retryAfter(), log, trace);
        servers = new ConnectionPools(
                loop, limits(config), new ConnectionBudget(shares.maxServerConnections()), log, trace);
        host = new SessionHost(
                config.settings(),
                scheduler,
                log,
                trace,
                servers,
                viewers::any,
                actions -> new Control(config.settings(), config.seed(), actions));
        discovery = new DiscoveryClient(loop, log, config.discovery(), config.knownNo(), config.seed(), this::told);
        loop.submit(discovery::start).syncUninterruptibly();
        meanwhile.run();
        Promise<Void> caughtUp = loop.newPromise();
        loop.execute(() -> awaitList(caughtUp));
        caughtUp.awaitUninterruptibly();
        loop.submit(() -> begin(config.known())).syncUninterruptibly();
    }

    /**
     * Listens for clients from now on.
     *
     * @throws IOException when the address can't be had; the node is closed then
     */
    public void listen() throws IOException {
        ChannelFuture bound = viewers.bind(group, config.listen(), host).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            close();
            throw new IOException(
                    "can't listen on " + config.listen() + ": " + bound.cause().getMessage());
        }
        listening = bound.channel();
    }

    private static ServerLimits limits(NodeConfig config) {
        return new ServerLimits(
                (int) Math.ceil(config.connectMs()),
                config.idleMs(),
                FailureDetector.silenceThresholdMs(
                        config.settings().tellMs(), config.settings().seeMs()),
                Math.min(MOST_ON_ONE, config.maxStreams()),
                config.mayTest());
    }

    /**
     * Starts a node that listens.
     *
     * @throws IOException when the address can't be had
     */
    public static FrontNode start(NodeConfig config, EventSink log, EventSink trace) throws IOException {
        return start(config, log, trace, () -> {});
    }

    /**
     * Prepares a node and listens.
     *
     * @throws IOException when the address can't be had
     */
    static FrontNode start(NodeConfig config, EventSink log, EventSink trace, Runnable meanwhile) throws IOException {
        FrontNode node = prepare(config, log, trace, meanwhile);
        node.listen();
        return node;
    }

    /**
     * Prepares a node that does not listen yet. Discovery is asked first, since what it told counts
     * whether it was asked or not; this returns once that is known, or can't be had, and {@code meanwhile}
     * has run.
     */
    public static FrontNode prepare(NodeConfig config, EventSink log, EventSink trace, Runnable meanwhile) {
        return new FrontNode(config, log, trace, meanwhile);
    }

    private void awaitList(Promise<Void> caughtUp) {
        if (discovery.caughtUp()) {
            caughtUp.setSuccess(null);
        } else {
            loop.schedule(() -> awaitList(caughtUp), START_LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void begin(List<ServerListUpdate> known) {
        host.start();
        servers.start(host);
        known.forEach(event -> listed(event, event.whole() ? ListKind.KEPT : ListKind.CHANGES));
        begun = true;
        early.forEach(this::told);
        early.clear();
    }

    /** Events of discovery; those that come before the module has started wait. */
    private void told(ServerListUpdate event) {
        if (begun) {
            listed(event, event.whole() ? ListKind.WHOLE : ListKind.CHANGES);
        } else {
            if (event.whole()) {
                early.clear();
            }
            early.add(event);
        }
    }

    private void listed(ServerListUpdate event, ListKind kind) {
        List<Server> list = new ArrayList<>();
        for (ServerListUpdate.Member member : event.members()) {
            Server server = member.server();
            list.add(server);
            if (server.state() == ServerState.GONE) {
                servers.onServerGone(server.id());
            } else {
                servers.onServerListed(server.id(), member.address(), server.state() == ServerState.DRAINING);
                if (!Double.isNaN(server.startedAt())) {
                    host.onServerRestarted(server.id(), server.startedAt());
                }
            }
        }
        if (kind != ListKind.CHANGES) {
            servers.retainOnly(list);
        }
        host.updateServers(kind, list);
        // After the module has heard it: what comes back unsent goes elsewhere.
        servers.withdrawUnsent();
    }

    /** Takes up what a new configuration changes: where discovery is asked. */
    public void reconfigure(NodeConfig fresh) {
        loop.execute(() -> discovery.moved(fresh.discovery()));
    }

    /**
     * Ends by the stages of {@link GracefulShutdown}; {@code done} is told once, and has to end the process.
     * A second call is without effect.
     */
    public void stop(Runnable done) {
        loop.execute(() -> {
            if (stopping != null) {
                return;
            }
            double began = scheduler.now();
            GracefulShutdown shutdown = new GracefulShutdown(config.deadlineMs());
            host.answerWithin(shutdown.answerDeadlineMs());
            stopping = loop.scheduleAtFixedRate(
                    () -> stop(shutdown, began, done), STOP_LOOK_MS, STOP_LOOK_MS, TimeUnit.MILLISECONDS);
        });
    }

    private void stop(GracefulShutdown shutdown, double began, Runnable done) {
        double sinceMs = scheduler.now() - began;
        switch (shutdown.nextStep(
                sinceMs,
                new GracefulShutdown.View(
                        viewers.size(),
                        host.openRequests(),
                        host.movingSessions() + servers.poolsWithPendingReleases(),
                        viewers.hasUnflushed() || servers.hasUnflushed()))) {
            // What has arrived is read first: a request that lies unread is not to cross the end.
            case DRAIN -> nextIteration.execute(() -> drain(began + shutdown.answerDeadlineMs(), NONE_ACCEPTED));
            case END -> {
                stopping.cancel(false);
                log.info(
                        "shutdown.end",
                        "afterMs",
                        Math.round(sinceMs),
                        "connections",
                        viewers.size(),
                        "open",
                        host.openRequests());
                done.run();
            }
            default -> {}
        }
    }

    /** Closes the listener once no connection waits to be accepted: those would be reset. */
    private void drain(double answerBy, long acceptedBefore) {
        long accepted = viewers.accepted();
        if (accepted != acceptedBefore && scheduler.now() < answerBy) {
            nextIteration.execute(() -> drain(answerBy, accepted));
            return;
        }
        log.info("shutdown.drain", "connections", viewers.size(), "open", host.openRequests());
        if (listening != null) {
            listening.close();
        }
        viewers.shutDown(answerBy - scheduler.now());
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Sessions held, open or standing; may be asked from any thread. */
    public int sessionCount() {
        return loop.submit(host::sessionCount).syncUninterruptibly().getNow();
    }

    /** The loop that all of it runs on: whoever holds it up decides what lies unread together. */
    Executor eventLoop() {
        return loop;
    }

    /** True while something that was said lies in buffers of this process; may be asked from any thread. */
    boolean hasUnflushed() {
        return loop.submit(() -> viewers.hasUnflushed() || servers.hasUnflushed())
                .syncUninterruptibly()
                .getNow();
    }

    /** Waits until it is stopped. */
    public void join() throws InterruptedException {
        group.terminationFuture().await();
    }

    /** Stops at once. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
