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

/** The connections of this front to one box. Which one an exchange takes is decided by {@link PoolPolicy}. */
final class BoxConnectionPool {
    /** Waits for a connection. */
    interface ConnectionRequest {
        /** Here it is; false when it is not wanted any more. */
        boolean onConnection(HttpClientConnection connection);

        /** None could be had, and why. */
        void onUnavailable(OutcomeTable.Event why);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final PoolPolicy policy;
    private final int connectMs;
    private final ArrayDeque<HttpClientConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<BoxConnectionPool.ConnectionRequest> queue = new ArrayDeque<>();
    private int open;

    BoxConnectionPool(EventLoop loop, InetSocketAddress address, PoolPolicy policy, int connectMs) {
        this.loop = loop;
        this.address = address;
        this.policy = policy;
        this.connectMs = connectMs;
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Takes a connection.
     *
     * @param control true for set-up, rung and release
     * @param fresh true when only a connection of its own will do: one refused then proves that nothing ran
     */
    void acquire(boolean control, boolean fresh, BoxConnectionPool.ConnectionRequest taker) {
        idle.removeIf(connection -> !connection.isAvailable());
        switch (policy.choose(control, fresh ? 0 : idle.size(), open, queue.size())) {
            case REUSE -> {
                HttpClientConnection connection = idle.pollLast();
                if (!taker.onConnection(connection)) {
                    idle.addLast(connection);
                }
            }
            case OPEN -> open(taker);
            case WAIT -> queue.add(taker);
            default -> taker.onUnavailable(OutcomeTable.Event.POOL_EXHAUSTED);
        }
    }

    private void open(BoxConnectionPool.ConnectionRequest taker) {
        open++;
        HttpClientConnection.open(
                loop,
                address,
                connectMs,
                HttpLimits.CLIENT,
                connection -> {
                    connection.onClosed(this::handleClosed);
                    if (!taker.onConnection(connection)) {
                        release(connection);
                    }
                },
                cause -> {
                    open--;
                    // Netty's connect time-out is a ConnectException too; it tells itself by its message.
                    boolean refused = cause instanceof ConnectException
                            && !String.valueOf(cause.getMessage()).contains("timed out");
                    taker.onUnavailable(
                            refused ? OutcomeTable.Event.CONNECT_REFUSED : OutcomeTable.Event.CONNECT_TIMED_OUT);
                    openForNextWaiter();
                });
    }

    /** An exchange is done with its connection. */
    void release(HttpClientConnection connection) {
        if (!connection.isAvailable()) {
            return;
        }
        for (BoxConnectionPool.ConnectionRequest waiting = queue.poll(); waiting != null; waiting = queue.poll()) {
            if (waiting.onConnection(connection)) {
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
        if (!queue.isEmpty() && policy.choose(false, 0, open, 0) == PoolPolicy.Choice.OPEN) {
            open(queue.poll());
        }
    }

    /** Ends all that rests, and executor away what waits. */
    void close(Consumer<BoxConnectionPool.ConnectionRequest> turnAway) {
        queue.forEach(turnAway);
        queue.clear();
        idle.forEach(HttpClientConnection::abort);
        idle.clear();
    }
}
