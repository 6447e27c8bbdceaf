package spanrill.node.client;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import spanrill.decisions.ClientConnectionState.Phase;
import spanrill.decisions.CloseReason;
import spanrill.decisions.ConnectionBudget;
import spanrill.decisions.ConnectionEviction;
import spanrill.decisions.ReceiveDelayEstimator;
import spanrill.loop.Clock;
import spanrill.loop.NextIterationExecutor;
import spanrill.node.session.ClientLink;
import spanrill.node.session.SessionHost;
import spanrill.session.EventSink;
import spanrill.wire.TcpListener;
import spanrill.wire.platform.Message;

/** Listens for viewers and for the platform's tests. */
public final class ClientListener {
    private static final int BACKLOG = 1024;
    private static final long TICK_MS = 100;
    private static final long ROUND_MS = 20;
    /** Descriptors of connections that are closing; taken from the reserve of the descriptor shares. */
    private static final int MOST_CLOSING = 12;

    private static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(64 * 1024, 128 * 1024);

    private final EventLoop loop;
    private final NextIterationExecutor nextIteration;
    private final ConnectionBudget budget;
    private final ReceiveDelayEstimator unread = new ReceiveDelayEstimator(ROUND_MS);
    private final EventSink log;
    private final EventSink trace;
    private final boolean retryAfter;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    /** Connections whose output is shut down, the oldest first; they no longer count against the budget. */
    private final Set<ClientConnection> closing = new LinkedHashSet<>();

    private SessionHost host;
    private ClientConnection lastGiven;
    private long accepted;
    /** When a shutdown gives the last answers, on the clock of {@link Clock#monotonicMs}; NaN: none is on. */
    private double answerBy = Double.NaN;

    /** Connections within the budget; {@code retryAfter}: viewers may be told when to come again. */
    public ClientListener(EventLoop loop, ConnectionBudget budget, boolean retryAfter, EventSink log, EventSink trace) {
        this.loop = loop;
        nextIteration = new NextIterationExecutor(loop);
        this.budget = budget;
        this.retryAfter = retryAfter;
        this.log = log;
        this.trace = trace;
    }

    /** Listens; the future tells when, or why not. */
    public ChannelFuture bind(EventLoopGroup group, InetSocketAddress address, SessionHost told) {
        host = told;
        // After a round that reads: one that lay unread while the loop was busy must not be taken for idle.
        loop.scheduleAtFixedRate(() -> nextIteration.execute(this::onTick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(
                () -> unread.onLoopIteration(Clock.monotonicMs()), 0, ROUND_MS, TimeUnit.MILLISECONDS);
        return TcpListener.bind(group, address, BACKLOG, MARKS, this::accept);
    }

    private void accept(SocketChannel channel) {
        accepted++;
        if (!budget.tryOpen() && !(makeRoom() && budget.tryOpen())) {
            channel.close();
            if (budget.becameFull()) {
                log.info("limit.viewers", "open", budget.open());
            }
            return;
        }
        ClientConnection connection = new ClientConnection(this, host, retryAfter);
        connections.add(connection);
        channel.closeFuture().addListener(f -> forget(connection));
        channel.pipeline().addLast(connection);
        if (!Double.isNaN(answerBy)) {
            connection.shutDown(answerBy - Clock.monotonicMs());
        }
    }

    private void forget(ClientConnection connection) {
        connections.remove(connection);
        if (!closing.remove(connection)) {
            budget.onClosed();
        }
        if (lastGiven == connection) {
            lastGiven = null;
        }
    }

    /** Runs an action when the loop has read what had arrived before. */
    void afterReading(Runnable action) {
        nextIteration.execute(action);
    }

    /** A connection ends: its output is shut down, or it was evicted. It no longer counts against the budget. */
    void closing(ClientConnection connection) {
        if (closing.add(connection)) {
            budget.onClosed();
        }
        if (closing.size() > MOST_CLOSING && Double.isNaN(answerBy)) {
            closing.iterator().next().closeNow();
        }
    }

    /**
     * Drains every connection, and each one that is still accepted.
     *
     * @param drainMs the last answers are given after so long
     */
    public void shutDown(double drainMs) {
        answerBy = Clock.monotonicMs() + drainMs;
        List.copyOf(connections).forEach(connection -> connection.shutDown(drainMs));
    }

    /** Connections that have not ended. */
    public int size() {
        return connections.size();
    }

    /** Lets a connection go on which nobody waits, for a new one. */
    private boolean makeRoom() {
        List<ClientConnection> all =
                connections.stream().filter(c -> c.phase() == Phase.OPEN).toList();
        double now = Clock.monotonicMs();
        int chosen = ConnectionEviction.chooseVictim(
                all.stream().map(c -> c.held(now)).toList());
        if (chosen == ConnectionEviction.NONE) {
            return false;
        }
        all.get(chosen).drain(CloseReason.EVICTED);
        return budget.open() < budget.limit();
    }

    private void onTick() {
        double now = Clock.monotonicMs();
        for (ClientConnection connection : Set.copyOf(connections)) {
            connection.onTick(now);
        }
    }

    /** Time that what is read now may have lain unread, ms. */
    double unreadMs() {
        return unread.estimateMs(Clock.monotonicMs());
    }

    /** Connections that came so far, those included that found no room. */
    public long accepted() {
        return accepted;
    }

    /** True while something that was said to a viewer lies in buffers of this process. */
    public boolean hasUnflushed() {
        return connections.stream().anyMatch(ClientConnection::hasUnflushed);
    }

    void came(ClientConnection on, Message message) {
        if (trace.isEnabled()) {
            trace.info("came", "on", on, "type", message.type(), "id", hex(message.session()));
        }
    }

    void sent(ClientConnection on, long session, int cause) {
        if (trace.isEnabled()) {
            trace.info("released", "on", on, "id", hex(session), "cause", cause);
        }
    }

    private static String hex(long session) {
        return HexFormat.of().toHexDigits(session);
    }

    void closed(ClosedConnection closed) {
        EventSink sink = closed.notable() ? log : trace;
        if (sink.isEnabled()) {
            sink.info(
                    "conn.close",
                    "conn",
                    closed.id(),
                    "reason",
                    closed.reason(),
                    "last",
                    closed.last(),
                    "open",
                    closed.openRequests(),
                    "discarded",
                    closed.discardedRequests(),
                    "messages",
                    closed.messages(),
                    "ageMs",
                    Math.round(closed.ageMs()));
        }
    }

    void rejected(ClientConnection on, long session, String why) {
        if (trace.isEnabled()) {
            trace.info("request.reject", "conn", on, "id", hex(session), "reason", why);
        }
    }

    /** A connection on which a usual viewer was served: it can take what is owed. */
    void good(ClientConnection connection) {
        host.onClientConnectionReady(connection);
    }

    /** A connection that can take a release whose own is gone, or null. */
    public ClientLink any() {
        List<ClientConnection> all = new ArrayList<>(connections);
        int chosen = ConnectionEviction.chooseRoute(
                all.stream()
                        .map(c -> new ConnectionEviction.Route(c.served() && c.isWritable(), c.usefulAt()))
                        .toList(),
                all.indexOf(lastGiven));
        lastGiven = chosen == ConnectionEviction.NONE ? null : all.get(chosen);
        return lastGiven;
    }
}
