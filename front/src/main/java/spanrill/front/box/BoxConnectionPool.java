package spanrill.front.box;

import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.PoolPolicy;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;

/** The connections of this front to one box. {@link PoolPolicy} decides which one an exchange uses. */
final class BoxConnectionPool {
    /** A request for a connection. */
    interface ConnectionRequest {
        /** Offers a connection. Returns true if the request takes it, false if the request has already ended. */
        boolean onConnection(HttpClientConnection connection);

        /** Called when no connection could be acquired, with the reason. */
        void onUnavailable(OutcomeTable.Event reason);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final PoolPolicy policy;
    private final int connectTimeoutMs;
    private final ArrayDeque<HttpClientConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<ConnectionRequest> waiting = new ArrayDeque<>();
    private int open;

    BoxConnectionPool(EventLoop loop, InetSocketAddress address, PoolPolicy policy, int connectTimeoutMs) {
        this.loop = loop;
        this.address = address;
        this.policy = policy;
        this.connectTimeoutMs = connectTimeoutMs;
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Acquires a connection.
     *
     * @param forControl true for set-ups, rung changes and releases, false for media segments
     * @param requireNew true to open a connection instead of reusing one: a refused connect proves that nothing ran
     */
    void acquire(boolean forControl, boolean requireNew, ConnectionRequest request) {
        idle.removeIf(connection -> !connection.isAvailable());
        switch (policy.choose(forControl, requireNew ? 0 : idle.size(), open, waiting.size())) {
            case REUSE -> {
                HttpClientConnection connection = idle.pollLast();
                if (!request.onConnection(connection)) {
                    idle.addLast(connection);
                }
            }
            case OPEN -> open(request);
            case WAIT -> waiting.add(request);
            default -> request.onUnavailable(OutcomeTable.Event.POOL_EXHAUSTED);
        }
    }

    private void open(ConnectionRequest request) {
        open++;
        HttpClientConnection.open(
                loop,
                address,
                connectTimeoutMs,
                HttpLimits.CLIENT,
                connection -> {
                    connection.onClosed(this::handleClosed);
                    if (!request.onConnection(connection)) {
                        release(connection);
                    }
                },
                cause -> {
                    open--;
                    // Netty reports a connect timeout as a ConnectException too; only the message differs.
                    boolean refused = cause instanceof ConnectException
                            && !String.valueOf(cause.getMessage()).contains("timed out");
                    request.onUnavailable(
                            refused ? OutcomeTable.Event.CONNECT_REFUSED : OutcomeTable.Event.CONNECT_TIMED_OUT);
                    openForNextWaiter();
                });
    }

    /** Returns the connection of a finished exchange: the next waiting request gets it, or it becomes idle. */
    void release(HttpClientConnection connection) {
        if (!connection.isAvailable()) {
            return;
        }
        for (ConnectionRequest next = waiting.poll(); next != null; next = waiting.poll()) {
            if (next.onConnection(connection)) {
                return;
            }
        }
        idle.addLast(connection);
    }

    private void handleClosed(HttpClientConnection connection) {
        open--;
        idle.remove(connection);
        openForNextWaiter();
    }

    private void openForNextWaiter() {
        if (!waiting.isEmpty() && policy.choose(false, 0, open, 0) == PoolPolicy.Choice.OPEN) {
            open(waiting.poll());
        }
    }

    /** Closes the idle connections and passes each waiting request to {@code reject}. */
    void close(Consumer<ConnectionRequest> reject) {
        waiting.forEach(reject);
        waiting.clear();
        idle.forEach(HttpClientConnection::abort);
        idle.clear();
    }
}
