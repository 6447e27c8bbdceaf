package spanrill.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import spanrill.Control;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.decisions.ConnectionBudget;
import spanrill.decisions.DescriptorShares;
import spanrill.decisions.SilenceWatch;
import spanrill.decisions.StopTimes;
import spanrill.loop.Clock;
import spanrill.loop.LoopScheduler;
import spanrill.node.bulletin.BulletinClient;
import spanrill.node.config.NodeConfig;
import spanrill.node.config.Roster;
import spanrill.node.server.ServerTable;
import spanrill.node.server.ServerTimes;
import spanrill.node.session.SessionHost;
import spanrill.node.viewer.ViewerListener;
import spanrill.session.EventSink;
import spanrill.session.Scheduler;

/** A front node that runs: one event loop with viewers, sessions, servers and the bulletin. */
public final class FrontNode implements AutoCloseable {
    private static final long STOP_LOOK_MS = 20;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
            NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final NodeConfig config;
    private final Scheduler scheduler;
    private final ServerTable servers;
    private final SessionHost host;
    private final BulletinClient bulletin;
    private final Channel listening;

    private FrontNode(NodeConfig config, EventSink log, EventSink trace) throws IOException {
        this.config = config;
        scheduler = new LoopScheduler(loop, new Clock());
        DescriptorShares shares = new DescriptorShares(config.sockets());
        ViewerListener viewers = new ViewerListener(loop, new ConnectionBudget(shares.viewers()),
                config.retryAfter(), log, trace);
        servers = new ServerTable(loop, new ServerTimes((int) Math.ceil(config.connectMs()), config.idleMs(),
                SilenceWatch.silentMs(config.settings().tellMs(), config.settings().seeMs())),
                        new ConnectionBudget(shares.servers()), log, trace);
        host = new SessionHost(config.settings(), scheduler, log, trace, servers, viewers::any,
                actions -> new Control(config.settings(), config.seed(), actions));
        bulletin = new BulletinClient(loop, log, config.bulletin(), config.knownNo(), config.seed(),
                event -> listed(event, event.whole() ? ListKind.WHOLE : ListKind.CHANGES));
        loop.submit(() -> {
            host.start();
            servers.begin(host);
            config.known().forEach(event -> listed(event, event.whole() ? ListKind.KEPT : ListKind.CHANGES));
            bulletin.start();
        }).syncUninterruptibly();
        ChannelFuture bound = viewers.bind(group, config.listen(), host).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            close();
            throw new IOException("can't listen on " + config.listen() + ": " + bound.cause().getMessage());
        }
        listening = bound.channel();
    }

    /**
     * Starts a node.
     *
     * @throws IOException when the address can't be had
     */
    public static FrontNode start(NodeConfig config, EventSink log, EventSink trace) throws IOException {
        return new FrontNode(config, log, trace);
    }

    private void listed(Roster event, ListKind kind) {
        List<Server> list = new ArrayList<>();
        for (Roster.Member member : event.members()) {
            Server server = member.server();
            list.add(server);
            if (server.state() == ServerState.GONE) {
                servers.gone(server.id());
            } else {
                servers.listed(server.id(), member.address());
                if (!Double.isNaN(server.startedAt())) {
                    host.restarted(server.id(), server.startedAt());
                }
            }
        }
        if (kind != ListKind.CHANGES) {
            servers.only(list);
        }
        host.servers(kind, list);
    }

    /** Takes up what a new configuration changes: where the bulletin is asked. */
    public void reconfigure(NodeConfig fresh) {
        loop.execute(() -> bulletin.moved(fresh.bulletin()));
    }

    /**
     * Goes on serving for as long as requests may come, gives every answer, then ends; {@code done} is
     * told.
     */
    public void stop(Runnable done) {
        loop.execute(() -> {
            double began = scheduler.now();
            StopTimes times = new StopTimes(config.deadlineMs());
            loop.scheduleAtFixedRate(() -> {
                if (times.over(scheduler.now() - began, host.open())) {
                    done.run();
                }
            }, STOP_LOOK_MS, STOP_LOOK_MS, TimeUnit.MILLISECONDS);
        });
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Sessions held, open or standing; may be asked from any thread. */
    public int sessions() {
        return loop.submit(host::size).syncUninterruptibly().getNow();
    }

    /** Waits until it is stopped. */
    public void join() throws InterruptedException {
        listening.closeFuture().await();
    }

    /** Stops at once. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
