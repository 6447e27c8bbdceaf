package spanrill.node.viewer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import spanrill.decisions.ConnectionBudget;
import spanrill.decisions.UnreadTime;
import spanrill.decisions.ViewerPatience;
import spanrill.loop.Clock;
import spanrill.node.session.SessionHost;
import spanrill.node.session.ViewerLink;
import spanrill.session.EventSink;
import spanrill.wire.platform.Message;

/** Listens for viewers and for the platform's tests. */
public final class ViewerListener {
    private static final int BACKLOG = 1024;
    private static final long LOOK_MS = 100;
    private static final long ROUND_MS = 20;
    private static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(64 * 1024, 128 * 1024);

    private final EventLoop loop;
    private final ConnectionBudget budget;
    private final ViewerPatience patience;
    private final UnreadTime unread = new UnreadTime(ROUND_MS);
    private final EventSink log;
    private final EventSink trace;
    private final boolean retryAfter;
    private final Set<ViewerConnection> connections = new LinkedHashSet<>();
    private SessionHost host;
    private ViewerConnection lastGiven;

    /** Connections within the budget; {@code retryAfter}: viewers may be told when to come again. */
    public ViewerListener(EventLoop loop, ConnectionBudget budget, boolean retryAfter, EventSink log,
            EventSink trace) {
        this.loop = loop;
        this.budget = budget;
        this.retryAfter = retryAfter;
        this.log = log;
        this.trace = trace;
        patience = new ViewerPatience();
    }

    /** Listens; the future tells when, or why not. */
    public ChannelFuture bind(EventLoopGroup group, InetSocketAddress address, SessionHost told) {
        host = told;
        loop.scheduleAtFixedRate(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(() -> unread.round(Clock.ticks()), 0, ROUND_MS, TimeUnit.MILLISECONDS);
        return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                }).bind(address);
    }

    private void accept(SocketChannel channel) {
        if (!budget.opened() && !(makeRoom() && budget.opened())) {
            channel.close();
            if (budget.becameFull()) {
                log.info("limit.viewers", "open", budget.open());
            }
            return;
        }
        ViewerConnection connection = new ViewerConnection(this, host, retryAfter);
        connections.add(connection);
        channel.closeFuture().addListener(f -> {
            budget.closed();
            connections.remove(connection);
            lastGiven = lastGiven == connection ? null : lastGiven;
        });
        channel.pipeline().addLast(connection);
    }

    /** Closes the oldest connection on which nobody waits for anything, to let a new one in. */
    private boolean makeRoom() {
        ViewerConnection chosen = null;
        for (ViewerConnection connection : connections) {
            if (connection.spare() && (chosen == null || !connection.proven() && chosen.proven())) {
                chosen = connection;
            }
        }
        if (chosen == null) {
            return false;
        }
        chosen.close();
        return budget.open() < budget.most();
    }

    private void look() {
        double now = Clock.ticks();
        for (ViewerConnection connection : Set.copyOf(connections)) {
            connection.look(now);
        }
    }

    ViewerPatience patience() {
        return patience;
    }

    /** Time that what is read now may have lain unread, ms. */
    double unreadMs() {
        return unread.at(Clock.ticks());
    }

    void came(ViewerConnection on, Message message) {
        if (trace.keeps()) {
            trace.info("came", "on", on, "type", message.type(), "id", hex(message.session()));
        }
    }

    void sent(ViewerConnection on, long session, int cause) {
        if (trace.keeps()) {
            trace.info("released", "on", on, "id", hex(session), "cause", cause);
        }
    }

    private static String hex(long session) {
        return HexFormat.of().toHexDigits(session);
    }

    void over(ViewerConnection on, String why) {
        trace.info("viewerLink", "on", on, "why", why);
    }

    void rejected(long session, String why) {
        if (trace.keeps()) {
            trace.info("rejected", "id", hex(session), "why", why);
        }
    }

    /** A connection on which a usual viewer was served: it can take what is owed. */
    void good(ViewerConnection connection) {
        host.linkReady(connection);
    }

    /**
     * A connection that can take a release whose own is gone, or null: the one on which something useful
     * came last, but not the one given last time while there is another. What was not heard on one may be
     * heard on the next.
     */
    public ViewerLink any() {
        ViewerConnection best = null;
        ViewerConnection second = null;
        for (ViewerConnection connection : connections) {
            if (connection.served() && connection.open()) {
                if (best == null || connection.usefulAt() > best.usefulAt()) {
                    second = best;
                    best = connection;
                } else if (second == null || connection.usefulAt() > second.usefulAt()) {
                    second = connection;
                }
            }
        }
        lastGiven = best == lastGiven && second != null ? second : best;
        return lastGiven;
    }
}
