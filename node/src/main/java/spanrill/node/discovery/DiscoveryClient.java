package spanrill.node.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import spanrill.decisions.DiscoveryRetryPolicy;
import spanrill.loop.Clock;
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
 * Follows discovery: one connection at a time, resumed after the last event that was applied. When it is
 * asked again is decided by {@link DiscoveryRetryPolicy}.
 */
public final class DiscoveryClient {
    private static final String PATH = "/bulletins";
    private static final int CONNECT_MS = 500;
    private static final int MOST_EVENT = 1 << 20;
    private static final long TICK_MS = 100;

    private final EventLoop loop;
    private final EventSink log;
    private final Consumer<ServerListUpdate> told;
    private final DiscoveryRetryPolicy watch;
    private InetSocketAddress address;
    private long last;
    private Stream stream;

    /**
     * A client that is not begun.
     *
     * @param last number of the last event that is known
     * @param told takes each new event, in order
     */
    public DiscoveryClient(
            EventLoop loop,
            EventSink log,
            InetSocketAddress address,
            long last,
            long seed,
            Consumer<ServerListUpdate> told) {
        this.loop = loop;
        this.log = log;
        this.address = address;
        this.last = last;
        this.told = told;
        watch = new DiscoveryRetryPolicy(seed);
    }

    /** Begins to ask. */
    public void start() {
        ask();
        loop.scheduleAtFixedRate(this::onTick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** From now on it is asked elsewhere, at once. */
    public void moved(InetSocketAddress to) {
        address = to;
        drop();
        ask();
    }

    /** True when what was missed is known, as far as it can be had. */
    public boolean caughtUp() {
        return watch.isCaughtUp(Clock.monotonicMs());
    }

    private void onTick() {
        if (watch.isRetryDue(Clock.monotonicMs())) {
            drop();
            ask();
        }
    }

    private void drop() {
        if (stream != null) {
            stream.abandon();
            stream = null;
        }
    }

    private void ask() {
        watch.onRequest(Clock.monotonicMs());
        Stream next = new Stream();
        stream = next;
        HttpClientConnection.open(loop, address, CONNECT_MS, HttpLimits.CLIENT, next::opened, cause -> {
            if (stream == next) {
                watch.onFailure(Clock.monotonicMs());
            }
        });
    }

    /** One answer of discovery. */
    private final class Stream implements HttpClientConnection.Listener {
        private final EventStreamParser events = new EventStreamParser(MOST_EVENT, this::event);
        private HttpClientConnection connection;

        void opened(HttpClientConnection opened) {
            connection = opened;
            Headers headers = new Headers()
                    .add("host", address.getHostString() + ":" + address.getPort())
                    .add("accept", "text/event-stream")
                    .add("last-event-id", Long.toString(last));
            if (stream != this) {
                // Moved, or given up, while it was coming up.
                abandon();
            } else if (!opened.send("GET", PATH, headers, new byte[0], this)) {
                broken();
            }
        }

        void abandon() {
            if (connection != null) {
                connection.abort();
            }
        }

        /** Nothing more is taken from it, whatever it goes on to send. */
        private void broken() {
            if (stream == this) {
                stream = null;
                abandon();
                watch.onFailure(Clock.monotonicMs());
            }
        }

        @Override
        public void onHead(ResponseHead head) {
            if (head.status() != 200) {
                log.info("discovery.refused", "status", head.status());
                broken();
            } else if (stream == this) {
                watch.onResponse(Clock.monotonicMs());
            }
        }

        @Override
        public void onData(ByteBuf part) {
            if (stream != this) {
                return;
            }
            watch.onData(Clock.monotonicMs());
            try {
                events.feed(part);
            } catch (HttpProtocolException fault) {
                log.info("discovery.malformed", "reason", fault.getMessage());
                broken();
            }
        }

        private void event(String id, String data) {
            if (stream != this) {
                return;
            }
            ServerListUpdate roster;
            try {
                roster = ServerListUpdate.of(JsonPairs.read(data.getBytes(StandardCharsets.UTF_8)));
            } catch (InvalidFieldException fault) {
                // The list in force stays whole; the same event is asked for again.
                log.info("discovery.malformed", "id", id, "reason", fault.getMessage());
                broken();
                return;
            }
            if (roster.no() <= last) {
                return;
            }
            if (roster.no() > last + 1 && !roster.whole()) {
                log.info("discovery.gap", "after", last, "came", roster.no());
                broken();
                return;
            }
            last = roster.no();
            told.accept(roster);
        }

        @Override
        public void onEnd() {
            broken();
        }

        @Override
        public void onFailure(HttpClientConnection.Failure loss, String reason) {
            broken();
        }
    }
}
