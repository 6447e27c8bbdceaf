package spanrill.front.box;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.BoxDirectory.Box;
import spanrill.decisions.CancellationProof;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.PoolPolicy;
import spanrill.front.FrontSettings;
import spanrill.session.BoxClient;
import spanrill.session.SessionCore;
import spanrill.wire.box.BoxLink;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.ResponseHead;

/** Client of the boxes over HTTP/1.1. */
public final class HttpBoxClient implements BoxClient, SegmentSource {
    /** Timeout of releases and rung changes. A lost release is harmless: the box ends idle sessions itself. */
    private static final long CONTROL_TIMEOUT_MS = 1000;
    /** Connections to each box that are reserved for control exchanges, at most half of the limit. */
    private static final int RESERVED_CONNECTIONS = 32;

    private static final byte[] NO_BODY = {};

    private final FrontSettings settings;
    private final EventLoop loop;
    private final SessionCore core;
    private final Function<String, Box> boxLookup;
    private final PoolPolicy policy;
    private final Map<String, BoxConnectionPool> pools = new HashMap<>();
    private final Map<String, NotesStream> notes = new HashMap<>();

    /** Creates a client that finds boxes by id through {@code boxLookup}. */
    public HttpBoxClient(FrontSettings settings, EventLoop loop, SessionCore core, Function<String, Box> boxLookup) {
        this.settings = settings;
        this.loop = loop;
        this.core = core;
        this.boxLookup = boxLookup;
        FrontSettings.Limits limits = settings.limits();
        policy = new PoolPolicy(
                limits.boxConnections(),
                Math.min(RESERVED_CONNECTIONS, limits.boxConnections() / 2),
                limits.boxWaiting());
    }

    Headers frontHeaders() {
        return Headers.of("host", "box", BoxLink.FRONT, Integer.toString(settings.me()), BoxLink.ZONE, settings.zone());
    }

    private BoxConnectionPool pool(String id) {
        Box box = boxLookup.apply(id);
        if (box == null) {
            return null;
        }
        BoxConnectionPool pool = pools.get(id);
        if (pool == null
                || pool.address().getPort() != box.port()
                || !pool.address().getHostString().equals(box.host())) {
            if (pool != null) {
                pool.close(connectionRequest -> connectionRequest.onUnavailable(OutcomeTable.Event.CLOSED));
            }
            pool = new BoxConnectionPool(
                    loop,
                    new InetSocketAddress(box.host(), box.port()),
                    policy,
                    settings.limits().connectMs());
            pools.put(id, pool);
        }
        return pool;
    }

    @Override
    public Attempt setUp(BoxClient.SetUpRequest request, AttemptListener listener) {
        BoxConnectionPool pool = pool(request.box());
        if (pool == null) {
            listener.onEnded(Outcome.CONNECT_FAILED, null);
            return reason -> Outcome.CONNECT_FAILED;
        }
        if (settings.notes().tellMs() > 0 && !notes.containsKey(request.box())) {
            NotesStream stream = new NotesStream(this, core, loop, request.box(), pool.address());
            notes.put(request.box(), stream);
            stream.open();
        }
        SetUpAttempt attempt = new SetUpAttempt(this, request, pool, listener);
        // A set-up that spends uses a new connection: a refused connect proves that it never ran, whereas a reused
        // connection that the box closes proves nothing.
        pool.acquire(true, request.spends(), attempt);
        return attempt;
    }

    void removeNotesStream(String box, NotesStream stream) {
        notes.remove(box, stream);
    }

    /** Sends the cancellation of an abandoned attempt to its box and ignores the answer. */
    void cancelAttempt(String box, String key) {
        sendControl(box, "DELETE", BoxLink.ATTEMPT_PATH_PREFIX + key, load -> {});
    }

    double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /**
     * Cancels an attempt and reports whether the answer proves that it never ran; false after {@code settleMs}.
     *
     * @param sentAt time at which the set-up was sent, from {@link #nowMs}
     */
    void cancelAndQueryRan(String box, String key, double sentAt, Consumer<Boolean> done) {
        boolean[] reported = {false};
        Consumer<Boolean> reportOnce = neverRan -> {
            if (!reported[0]) {
                reported[0] = true;
                done.accept(neverRan);
            }
        };
        loop.schedule(() -> reportOnce.accept(false), (long) settings.limits().settleMs(), TimeUnit.MILLISECONDS);
        exchange(box, "DELETE", BoxLink.ATTEMPT_PATH_PREFIX + key, (load, head) -> {
            String ran = head == null ? null : head.headers().get(BoxLink.RAN);
            double uptimeMs = head == null || head.headers().get(BoxLink.UPTIME_MS) == null
                    ? Double.NaN
                    : BoxLink.parseNonNegative(head.headers().get(BoxLink.UPTIME_MS));
            reportOnce.accept(
                    CancellationProof.provesNeverRan(ran == null ? null : ran.equals("1"), uptimeMs, nowMs() - sentAt));
        });
    }

    @Override
    public void setRung(String box, String key, int rung) {
        sendControl(box, "POST", BoxLink.ATTEMPT_PATH_PREFIX + key + "/rung?to=" + rung, load -> {});
    }

    @Override
    public void release(String box, String key, Consumer<Load> done) {
        sendControl(box, "DELETE", BoxLink.ATTEMPT_PATH_PREFIX + key, done);
    }

    private void sendControl(String box, String method, String target, Consumer<Load> done) {
        exchange(box, method, target, (load, head) -> done.accept(load));
    }

    private void exchange(String box, String method, String target, BiConsumer<Load, ResponseHead> done) {
        BoxConnectionPool pool = pool(box);
        if (pool == null) {
            done.accept(null, null);
            return;
        }
        ControlCall call = new ControlCall(pool, method, target, done);
        loop.schedule(call::abortOnTimeout, CONTROL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        pool.acquire(true, false, call);
    }

    /** A control exchange, of which only the response head is used. */
    private final class ControlCall implements BoxConnectionPool.ConnectionRequest, HttpClientConnection.Listener {
        private final BoxConnectionPool pool;
        private final String method;
        private final String target;
        private final BiConsumer<Load, ResponseHead> done;
        private HttpClientConnection connection;
        private ResponseHead receivedHead;
        private boolean complete;
        private boolean finished;

        ControlCall(BoxConnectionPool pool, String method, String target, BiConsumer<Load, ResponseHead> done) {
            this.pool = pool;
            this.method = method;
            this.target = target;
            this.done = done;
        }

        @Override
        public boolean onConnection(HttpClientConnection acquired) {
            if (finished) {
                return false;
            }
            connection = acquired;
            if (!connection.send(method, target, frontHeaders(), NO_BODY, this)) {
                completeCall();
            }
            return true;
        }

        @Override
        public void onUnavailable(OutcomeTable.Event reason) {
            completeCall();
        }

        @Override
        public void onHead(ResponseHead head) {
            receivedHead = head;
        }

        @Override
        public void onEnd() {
            pool.release(connection);
            complete = true;
            completeCall();
        }

        @Override
        public void onFailure(HttpClientConnection.Failure failure, String reason) {
            completeCall();
        }

        void abortOnTimeout() {
            if (!finished && connection != null) {
                connection.abort();
            }
            completeCall();
        }

        /** Passes the result to {@code done}, once: the response head if the response is complete, else null. */
        private void completeCall() {
            if (!finished) {
                finished = true;
                ResponseHead head = complete ? receivedHead : null;
                done.accept(
                        head == null ? null : BoxLink.parseLoad(head.headers().get(BoxLink.LOAD)), head);
            }
        }
    }

    @Override
    public SegmentSource.SegmentTransfer fetch(String box, String key, String path, String range, SegmentSink sink) {
        BoxConnectionPool pool = pool(box);
        if (pool == null) {
            sink.onLost(0, "the box is no longer in the box list");
            return new SegmentSource.SegmentTransfer() {
                @Override
                public void setReading(boolean enabled) {}

                @Override
                public void cancel() {}
            };
        }
        SegmentFetch fetch = new SegmentFetch(this, pool, key, path, range, sink);
        pool.acquire(false, false, fetch);
        return fetch;
    }

    /** Closes the note streams and the idle connections. */
    public void close() {
        notes.values().forEach(NotesStream::close);
        pools.values()
                .forEach(pool ->
                        pool.close(connectionRequest -> connectionRequest.onUnavailable(OutcomeTable.Event.CLOSED)));
    }
}
