package spanrill.node.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import spanrill.decisions.DiscoveryRetryPolicy;
import spanrill.loop.Clock;
import spanrill.loop.PeriodicTask;
import spanrill.node.config.JsonPairs;
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
 * Subscribes to discovery over one connection at a time, resuming after the last update that was applied.
 * {@link DiscoveryRetryPolicy} decides when the client reconnects.
 */
public final class DiscoveryClient {
    private static final String PATH = "/bulletins";
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_EVENT_LENGTH = 1 << 20;
    private static final long TICK_INTERVAL_MS = 100;

    private final EventLoop loop;
    private final EventSink log;
    private final Consumer<ServerListUpdate> onUpdate;
    private final DiscoveryRetryPolicy retryPolicy;
    private InetSocketAddress address;
    private long lastUpdate;
    private Subscription currentSubscription;

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
        this.log = log;
        this.address = address;
        this.lastUpdate = lastUpdate;
        this.onUpdate = onUpdate;
        retryPolicy = new DiscoveryRetryPolicy(seed);
    }

    /** Connects to discovery and starts to check the connection periodically. */
    public void start() {
        subscribe();
        PeriodicTask.start(loop, TICK_INTERVAL_MS, log, "discovery", this::onTick);
    }

    /** Changes the address of discovery and connects to it at once. */
    public void reconnectTo(InetSocketAddress newAddress) {
        address = newAddress;
        dropSubscription();
        subscribe();
    }

    /** True when the updates missed before the start have been received, or cannot be obtained in time. */
    public boolean caughtUp() {
        return retryPolicy.isCaughtUp(Clock.monotonicMs());
    }

    private void onTick() {
        if (retryPolicy.isRetryDue(Clock.monotonicMs())) {
            dropSubscription();
            subscribe();
        }
    }

    private void dropSubscription() {
        if (currentSubscription != null) {
            currentSubscription.abort();
            currentSubscription = null;
        }
    }

    private void subscribe() {
        log.info("discovery.call", "address", address, "after", lastUpdate);
        retryPolicy.onRequest(Clock.monotonicMs());
        Subscription subscription = new Subscription();
        currentSubscription = subscription;
        HttpClientConnection.open(
                loop, address, CONNECT_TIMEOUT_MS, HttpLimits.CLIENT, subscription::onConnected, cause -> {
                    if (currentSubscription == subscription) {
                        log.info("discovery.failed", "reason", cause.getMessage());
                        retryPolicy.onFailure(Clock.monotonicMs());
                    }
                });
    }

    /** One subscription: a connection to discovery and the event stream of its response. */
    private final class Subscription implements HttpClientConnection.Listener {
        private final EventStreamParser parser = new EventStreamParser(MAX_EVENT_LENGTH, this::onEvent);
        private HttpClientConnection connection;

        void onConnected(HttpClientConnection newConnection) {
            connection = newConnection;
            Headers headers = new Headers()
                    .add("host", address.getHostString() + ":" + address.getPort())
                    .add("accept", "text/event-stream")
                    .add("last-event-id", Long.toString(lastUpdate));
            if (currentSubscription != this) {
                // The client moved to another address or gave this attempt up while the connection was being opened.
                abort();
            } else if (!newConnection.send("GET", PATH, headers, new byte[0], this)) {
                fail();
            }
        }

        void abort() {
            if (connection != null) {
                connection.abort();
            }
        }

        /** Ends the subscription and ignores whatever discovery sends on it afterwards. */
        private void fail() {
            if (currentSubscription == this) {
                currentSubscription = null;
                abort();
                retryPolicy.onFailure(Clock.monotonicMs());
            }
        }

        @Override
        public void onHead(ResponseHead head) {
            if (head.status() != 200) {
                log.info("discovery.refused", "status", head.status());
                fail();
            } else if (currentSubscription == this) {
                retryPolicy.onResponse(Clock.monotonicMs());
            }
        }

        @Override
        public void onData(ByteBuf data) {
            if (currentSubscription != this) {
                return;
            }
            retryPolicy.onData(Clock.monotonicMs());
            try {
                parser.feed(data);
            } catch (HttpProtocolException e) {
                log.info("discovery.malformed", "reason", e.getMessage());
                fail();
            }
        }

        private void onEvent(String id, String data) {
            if (currentSubscription != this) {
                return;
            }
            ServerListUpdate update;
            try {
                update = ServerListUpdate.of(JsonPairs.read(data.getBytes(StandardCharsets.UTF_8)));
            } catch (InvalidFieldException e) {
                // The current list stays unchanged; the same update is requested again on the next connection.
                log.info("discovery.malformed", "id", id, "reason", e.getMessage());
                fail();
                return;
            }
            if (update.number() <= lastUpdate) {
                return;
            }
            if (update.number() > lastUpdate + 1 && !update.complete()) {
                log.info("discovery.gap", "after", lastUpdate, "came", update.number());
                fail();
                return;
            }
            try {
                onUpdate.accept(update);
                lastUpdate = update.number();
                retryPolicy.onUpdateApplied();
            } catch (RuntimeException e) {
                // A part of the update may be applied; applying it again is harmless, and losing the rest is not.
                log.error("discovery.fault", e, "no", update.number());
                fail();
            }
        }

        @Override
        public void onEnd() {
            fail();
        }

        @Override
        public void onFailure(HttpClientConnection.Failure failure, String reason) {
            fail();
        }
    }
}
