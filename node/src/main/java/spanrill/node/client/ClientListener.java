package spanrill.node.client;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import spanrill.decisions.ClientConnectionState.Phase;
import spanrill.decisions.CloseReason;
import spanrill.decisions.ConnectionBudget;
import spanrill.decisions.ConnectionEviction;
import spanrill.decisions.PauseMonitor;
import spanrill.decisions.ReleaseRoutes;
import spanrill.loop.Clock;
import spanrill.loop.NextIterationExecutor;
import spanrill.loop.PeriodicTask;
import spanrill.node.session.ClientLink;
import spanrill.node.session.SessionHost;
import spanrill.session.EventSink;
import spanrill.wire.TcpListener;
import spanrill.wire.platform.Message;

/** Accepts connections from viewers and from the platform's tests, within a budget of file descriptors. */
public final class ClientListener {
    private static final int ACCEPT_BACKLOG = 1024;
    private static final long TICK_INTERVAL_MS = 100;
    /** Closing connections do not count against the budget; their descriptors come from a reserve of the process. */
    private static final int MAX_CLOSING = 12;

    private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS = new WriteBufferWaterMark(64 * 1024, 128 * 1024);

    /** Descriptions of requests that wait for unread input, on all connections. */
    private static final int MAX_UNSTARTED_BYTES = 4 * 1024 * 1024;

    private final ByteBudget unstartedBytes = new ByteBudget(MAX_UNSTARTED_BYTES);
    private final EventLoop loop;
    private final NextIterationExecutor nextIteration;
    private final ConnectionBudget budget;
    private final PauseMonitor pauses;
    private final EventSink log;
    private final EventSink trace;
    private final boolean retryAfterAllowed;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    /** Connections that were evicted or whose output is shut down, the oldest first. */
    private final Set<ClientConnection> closing = new LinkedHashSet<>();

    private SessionHost host;
    private long accepted;
    /**
     * Time on {@link Clock#monotonicMs} at which requests that are still open fail because the node shuts down; NaN
     * before a shutdown.
     */
    private double answerDeadline = Double.NaN;

    /**
     * Creates a listener that does not accept connections yet.
     *
     * @param budget limits the number of open connections
     * @param pauses measures the pauses of the loop
     * @param retryAfterAllowed true when a refusal may tell the viewer when to retry
     */
    public ClientListener(
            EventLoop loop,
            ConnectionBudget budget,
            PauseMonitor pauses,
            boolean retryAfterAllowed,
            EventSink log,
            EventSink trace) {
        this.loop = loop;
        this.pauses = pauses;
        nextIteration = new NextIterationExecutor(loop);
        this.budget = budget;
        this.retryAfterAllowed = retryAfterAllowed;
        this.log = log;
        this.trace = trace;
    }

    /** Starts to accept connections; the future completes when the address is bound, or fails. */
    public ChannelFuture bind(EventLoopGroup group, InetSocketAddress address, SessionHost sessionHost) {
        host = sessionHost;
        PeriodicTask.start(loop, TICK_INTERVAL_MS, log, "clients", this::onTick);
        return TcpListener.bind(group, address, ACCEPT_BACKLOG, WRITE_BUFFER_LIMITS, this::accept);
    }

    void accept(SocketChannel channel) {
        accepted++;
        if (!budget.tryOpen() && !(evictConnection() && budget.tryOpen())) {
            channel.close();
            if (budget.becameFull()) {
                log.info("limit.viewers", "open", budget.open());
            }
            return;
        }
        ClientConnection connection = new ClientConnection(this, host, retryAfterAllowed);
        connections.add(connection);
        channel.closeFuture().addListener(f -> onChannelClosed(connection));
        channel.pipeline().addLast(connection);
        if (!Double.isNaN(answerDeadline)) {
            connection.shutDown(answerDeadline - Clock.monotonicMs());
        }
    }

    ByteBudget unstartedBytes() {
        return unstartedBytes;
    }

    private void onChannelClosed(ClientConnection connection) {
        connections.remove(connection);
        if (!closing.remove(connection)) {
            budget.onClosed();
        }
    }

    /** Runs an action once the loop has read the input that has arrived so far. */
    void runAfterReading(Runnable action) {
        nextIteration.execute(action);
    }

    /**
     * Removes a connection from the budget: its output is being shut down, or it is evicted. One whose channel is
     * closed has left the budget already.
     */
    void onClosing(ClientConnection connection) {
        if (connections.contains(connection) && closing.add(connection)) {
            budget.onClosed();
        }
        if (closing.size() > MAX_CLOSING && Double.isNaN(answerDeadline)) {
            closing.iterator().next().closeNow();
        }
    }

    /**
     * Drains every connection, and each connection that is accepted from now on.
     *
     * @param drainMs time after which requests still open are failed, ms
     */
    public void shutDown(double drainMs) {
        answerDeadline = Clock.monotonicMs() + drainMs;
        List.copyOf(connections).forEach(connection -> connection.shutDown(drainMs));
    }

    /** Returns the number of connections that are not closed. */
    public int size() {
        return connections.size();
    }

    /**
     * Evicts a connection without open requests or established sessions; returns true when the budget then has room.
     */
    private boolean evictConnection() {
        List<ClientConnection> candidates =
                connections.stream().filter(c -> c.phase() == Phase.OPEN).toList();
        double now = Clock.monotonicMs();
        int chosen = ConnectionEviction.chooseVictim(
                candidates.stream().map(c -> c.evictionCandidate(now)).toList());
        if (chosen == ConnectionEviction.NONE) {
            return false;
        }
        candidates.get(chosen).startDrain(CloseReason.EVICTED);
        return budget.open() < budget.limit();
    }

    private void onTick() {
        double now = Clock.monotonicMs();
        for (ClientConnection connection : Set.copyOf(connections)) {
            connection.onTick(now);
        }
    }

    /**
     * Returns the time that is left for a request that is being read, ms; below 1 when none is.
     *
     * @param waitMs how long its viewer waits from when it sent the request, ms
     */
    double remainingMs(double waitMs) {
        return pauses.remainingMs(waitMs, Clock.monotonicMs());
    }

    /** Returns the number of connections accepted so far, including those closed at once for lack of budget. */
    public long accepted() {
        return accepted;
    }

    /** True while bytes sent to a client wait in buffers of this process. */
    public boolean hasUnflushed() {
        return connections.stream().anyMatch(ClientConnection::hasUnflushed);
    }

    void traceReceived(ClientConnection connection, Message message) {
        if (trace.isEnabled()) {
            trace.info("received", "conn", connection, "type", message.type(), "id", hex(message.session()));
        }
    }

    void traceRelease(ClientConnection connection, long session, int cause) {
        if (trace.isEnabled()) {
            trace.info("released", "conn", connection, "id", hex(session), "cause", cause);
        }
    }

    private static String hex(long session) {
        return HexFormat.of().toHexDigits(session);
    }

    void onClosed(ClosedConnection closed) {
        EventSink sink = closed.notable() ? log : trace;
        if (sink.isEnabled()) {
            sink.info(
                    "conn.close",
                    "conn",
                    closed.id(),
                    "reason",
                    closed.reason(),
                    "last",
                    closed.closedBy(),
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

    /** Logs a fault of this program that ends a connection; a failure of the network is not a fault. */
    void logFault(ClientConnection connection, Throwable cause) {
        log.error("conn.fault", cause, "conn", connection);
    }

    void traceRejected(ClientConnection connection, long session, String reason) {
        if (trace.isEnabled()) {
            trace.info("request.reject", "conn", connection, "id", hex(session), "reason", reason);
        }
    }

    /** Called when a connection turns out to lead to viewers: pending releases may be sent on it. */
    void onViewersFound(ClientConnection connection) {
        host.onClientConnectionReady(connection);
    }

    /** Returns the connections for a release whose own connection has closed, in the order of preference. */
    public List<ClientLink> releaseLinks() {
        List<ClientConnection> all = List.copyOf(connections);
        List<Integer> order = ReleaseRoutes.order(
                all.stream().map(ClientConnection::releaseRoute).toList());
        return order.stream().<ClientLink>map(all::get).toList();
    }
}
