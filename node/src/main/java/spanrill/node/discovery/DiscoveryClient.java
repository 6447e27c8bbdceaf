package spanrill.node.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import spanrill.decisions.DiscoveryRetryPolicy;
import spanrill.decisions.DiscoveryRetryPolicy.Reason;
import spanrill.loop.Clock;
import spanrill.loop.NextIterationExecutor;
import spanrill.loop.PeriodicTask;
import spanrill.node.config.ServerListUpdate;
import spanrill.session.EventSink;
import spanrill.setup.InvalidFieldException;
import spanrill.wire.http.EventStreamParser;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;
import spanrill.wire.http.HttpProtocolException;
import spanrill.wire.http.ResponseHead;

/**
 * Subscribes to discovery, resuming after the last update that was applied. Several subscriptions may be open at a
 * time; {@link DiscoveryRetryPolicy} decides when one is opened and which are ended.
 */
public final class DiscoveryClient {
    private static final String PATH = "/bulletins";
    private static final int CONNECT_TIMEOUT_MS = (int) DiscoveryRetryPolicy.MAX_CALL_MS;
    private static final int MAX_EVENT_LENGTH = 1 << 20;
    /** Read in one iteration of the event loop, at most: some 120 updates, between which requests are served. */
    private static final int MAX_READ_BYTES = 32 * 1024;

    private static final long TICK_INTERVAL_MS = 100;

    private final EventLoop loop;
    private final NextIterationExecutor nextIteration;
    private final EventSink log;
    private final Consumer<ServerListUpdate> onUpdate;
    private final DiscoveryRetryPolicy retryPolicy;
    private final Map<Long, Subscription> subscriptions = new HashMap<>();
    private InetSocketAddress address;
    private long lastUpdate;

    /**
     * Creates a client that does not connect yet.
     *
     * @param lastUpdate number of the last update that is known
     * @param onUpdate receives each new update, in order
     */
    public DiscoveryClient(
            EventLoop loop,
            EventSink log,
            InetSocketAddress address,
            long lastUpdate,
            long seed,
            Consumer<ServerListUpdate> onUpdate) {
        this.loop = loop;
        nextIteration = new NextIterationExecutor(loop);
        this.log = log;
        this.address = address;
        this.lastUpdate = lastUpdate;
        this.onUpdate = onUpdate;
        retryPolicy = new DiscoveryRetryPolicy(seed);
    }

    /** Connects to discovery and starts to check the connection periodically. */
    public void start() {
        subscribe(Reason.START);
        PeriodicTask.start(loop, TICK_INTERVAL_MS, log, "discovery", this::onTick);
    }

    /** Changes the address of discovery and connects to it at once. */
    public void reconnectTo(InetSocketAddress newAddress) {
        address = newAddress;
        List<Subscription> previous = List.copyOf(subscriptions.values());
        retryPolicy.onAddressChanged();
        subscribe(Reason.START);
        previous.stream().filter(subscription -> !subscription.isConnected()).forEach(Subscription::end);
        // Updates that have arrived from the previous address are read first.
        nextIteration.execute(() -> previous.forEach(Subscription::end));
    }

    /** True when the updates missed before the start have been received, or cannot be obtained in time. */
    public boolean caughtUp() {
        return retryPolicy.isCaughtUp(Clock.monotonicMs());
    }

    private void onTick() {
        double now = Clock.monotonicMs();
        Reason reason = retryPolicy.callDue(now);
        if (reason != null) {
            endAll(retryPolicy.callsToGiveUp(now));
            subscribe(reason);
        }
    }

    private void endAll(List<Long> calls) {
        for (long call : calls) {
            Subscription subscription = subscriptions.get(call);
            if (subscription != null) {
                subscription.end();
            }
        }
    }

    private void subscribe(Reason reason) {
        long call = retryPolicy.onCall(Clock.monotonicMs());
        Subscription subscription = new Subscription(call);
        subscriptions.put(call, subscription);
        log.info(
                "discovery.call",
                "call",
                call,
                "address",
                address,
                "after",
                lastUpdate,
                "reason",
                reason,
                "open",
                subscriptions.size());
        HttpClientConnection.open(
                loop,
                address,
                CONNECT_TIMEOUT_MS,
                HttpLimits.CLIENT,
                subscription::onConnected,
                cause -> subscription.fail(cause.getMessage()));
    }

    /** One subscription: a connection to discovery and the event stream of its response. */
    private final class Subscription implements HttpClientConnection.Listener {
        private final long call;
        private final InetSocketAddress calledAddress = address;
        private final EventStreamParser parser = new EventStreamParser(MAX_EVENT_LENGTH, this::onEvent);
        private HttpClientConnection connection;

        Subscription(long call) {
            this.call = call;
        }

        void onConnected(HttpClientConnection newConnection) {
            connection = newConnection;
            connection.limitReadsPerIteration(MAX_READ_BYTES);
            Headers headers = new Headers()
                    .add("host", calledAddress.getHostString() + ":" + calledAddress.getPort())
                    .add("accept", "text/event-stream")
                    .add("last-event-id", Long.toString(lastUpdate));
            if (!isOpen()) {
                // The client moved to another address or gave this call up while the connection was being opened.
                connection.abort();
            } else if (!newConnection.send("GET", PATH, headers, new byte[0], this)) {
                fail("the connection was closed before the request was sent");
            }
        }

        boolean isConnected() {
            return connection != null;
        }

        private boolean isOpen() {
            return subscriptions.get(call) == this;
        }

        /** Ends the subscription and ignores whatever discovery sends on it afterwards. */
        void end() {
            subscriptions.remove(call);
            if (connection != null) {
                connection.abort();
            }
        }

        private void fail(String reason) {
            if (isOpen()) {
                log.info("discovery.failed", "call", call, "reason", reason);
                end();
                retryPolicy.onFailure(call, Clock.monotonicMs());
            }
        }

        @Override
        public void onHead(ResponseHead head) {
            if (head.status() != 200) {
                log.info("discovery.refused", "status", head.status());
                fail("status " + head.status());
            } else if (isOpen()) {
                retryPolicy.onResponse(call, Clock.monotonicMs());
            }
        }

        @Override
        public void onData(ByteBuf data) {
            if (!isOpen()) {
                return;
            }
            List<Long> replaced = retryPolicy.onData(call, Clock.monotonicMs());
            if (!replaced.isEmpty()) {
                // Updates that have arrived on the earlier calls are read first.
                nextIteration.execute(() -> endAll(replaced));
            }
            try {
                parser.feed(data);
            } catch (HttpProtocolException e) {
                log.info("discovery.malformed", "reason", e.getMessage());
                fail("malformed stream");
            }
        }

        private void onEvent(String id, String data) {
            if (!isOpen()) {
                return;
            }
            ServerListUpdate update;
            try {
                update = ServerListUpdate.read(data.getBytes(StandardCharsets.UTF_8));
            } catch (InvalidFieldException e) {
                // The current list stays unchanged; the same update is requested again on the next connection.
                log.info("discovery.malformed", "id", id, "reason", e.getMessage());
                fail("malformed update");
                return;
            }
            if (update.number() <= lastUpdate) {
                return;
            }
            if (update.number() > lastUpdate + 1 && !update.complete()) {
                log.info("discovery.gap", "after", lastUpdate, "came", update.number());
                fail("gap");
                return;
            }
            try {
                onUpdate.accept(update);
                lastUpdate = update.number();
                retryPolicy.onUpdateApplied();
            } catch (RuntimeException e) {
                // A part of the update may be applied; applying it again is harmless, and losing the rest is not.
                log.error("discovery.fault", e, "no", update.number());
                fail("update not applied");
            }
        }

        @Override
        public void onEnd() {
            fail("the stream ended");
        }

        @Override
        public void onFailure(HttpClientConnection.Failure failure, String reason) {
            fail(failure + ": " + reason);
        }
    }
}
