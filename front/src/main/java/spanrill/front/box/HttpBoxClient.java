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

/** Reaches boxes over HTTP/1.1. */
public final class HttpBoxClient implements BoxClient, SegmentSource {
    /**
     * A release or rung that isn't answered within this time is given up: the box ends idle sessions
     * itself.
     */
    private static final long CONTROL_MS = 1000;
    /** Set-ups, rungs and releases have so many of a box's connections to themselves, within its cap. */
    private static final int KEPT = 32;

    private static final byte[] NO_BODY = {};

    private final FrontSettings settings;
    private final EventLoop loop;
    private final SessionCore core;
    private final Function<String, Box> book;
    private final PoolPolicy policy;
    private final Map<String, BoxConnectionPool> pools = new HashMap<>();
    private final Map<String, NotesStream> notes = new HashMap<>();

    /** Boxes are looked up in {@code book} by name. */
    public HttpBoxClient(FrontSettings settings, EventLoop loop, SessionCore core, Function<String, Box> book) {
        this.settings = settings;
        this.loop = loop;
        this.core = core;
        this.book = book;
        FrontSettings.Limits limits = settings.limits();
        policy = new PoolPolicy(
                limits.boxConnections(), Math.min(KEPT, limits.boxConnections() / 2), limits.boxWaiting());
    }

    Headers frontHeaders() {
        return Headers.of("host", "box", BoxLink.FRONT, Integer.toString(settings.me()), BoxLink.ZONE, settings.zone());
    }

    private BoxConnectionPool pool(String id) {
        Box box = book.apply(id);
        if (box == null) {
            return null;
        }
        BoxConnectionPool pool = pools.get(id);
        if (pool == null
                || pool.address().getPort() != box.port()
                || !pool.address().getHostString().equals(box.host())) {
            if (pool != null) {
                pool.close(taker -> taker.onUnavailable(OutcomeTable.Event.CLOSED));
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
    public Attempt setUp(BoxClient.SetUpRequest order, AttemptListener listener) {
        BoxConnectionPool pool = pool(order.box());
        if (pool == null) {
            listener.onEnded(Outcome.CONNECT_FAILED, null);
            return why -> Outcome.CONNECT_FAILED;
        }
        if (settings.notes().tellMs() > 0 && !notes.containsKey(order.box())) {
            NotesStream stream = new NotesStream(this, core, loop, order.box(), pool.address());
            notes.put(order.box(), stream);
            stream.open();
        }
        SetUpAttempt attempt = new SetUpAttempt(this, order, pool, listener);
        // What spends something goes on a connection of its own: a refused connect then proves that it never
        // ran, where a connection that the box closed meanwhile proves nothing.
        pool.acquire(true, order.spends(), attempt);
        return attempt;
    }

    void removeNotesStream(String box, NotesStream stream) {
        notes.remove(box, stream);
    }

    /** Tells a box to end an attempt that was given up; nobody waits for the answer. */
    void cancelAttempt(String box, String key) {
        sendControl(box, "DELETE", BoxLink.ATTEMPT_PATH_PREFIX + key, load -> {});
    }

    double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** Calls an attempt off and tells whether that proves that it never ran; false after a time. */
    void cancelAndQueryRan(String box, String key, double sentAt, Consumer<Boolean> done) {
        boolean[] told = {false};
        Consumer<Boolean> once = neverRan -> {
            if (!told[0]) {
                told[0] = true;
                done.accept(neverRan);
            }
        };
        loop.schedule(() -> once.accept(false), (long) settings.limits().settleMs(), TimeUnit.MILLISECONDS);
        exchange(box, "DELETE", BoxLink.ATTEMPT_PATH_PREFIX + key, (load, head) -> {
            String ran = head == null ? null : head.headers().get(BoxLink.RAN);
            double upMs = head == null || head.headers().get(BoxLink.UPTIME_MS) == null
                    ? Double.NaN
                    : BoxLink.parseNonNegative(head.headers().get(BoxLink.UPTIME_MS));
            once.accept(CancellationProof.provesNeverRan(ran == null ? null : ran.equals("1"), upMs, nowMs() - sentAt));
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
        loop.schedule(call::late, CONTROL_MS, TimeUnit.MILLISECONDS);
        pool.acquire(true, false, call);
    }

    /** A small exchange of which only the head matters. */
    private final class ControlCall
            implements spanrill.front.box.BoxConnectionPool.ConnectionRequest, HttpClientConnection.Listener {
        private final BoxConnectionPool pool;
        private final String method;
        private final String target;
        private final BiConsumer<Load, ResponseHead> done;
        private HttpClientConnection connection;
        private ResponseHead seen;
        private boolean answered;
        private boolean over;

        ControlCall(BoxConnectionPool pool, String method, String target, BiConsumer<Load, ResponseHead> done) {
            this.pool = pool;
            this.method = method;
            this.target = target;
            this.done = done;
        }

        @Override
        public boolean onConnection(HttpClientConnection given) {
            if (over) {
                return false;
            }
            connection = given;
            if (!connection.send(method, target, frontHeaders(), NO_BODY, this)) {
                finish();
            }
            return true;
        }

        @Override
        public void onUnavailable(OutcomeTable.Event why) {
            finish();
        }

        @Override
        public void onHead(ResponseHead head) {
            seen = head;
        }

        @Override
        public void onEnd() {
            pool.release(connection);
            answered = true;
            finish();
        }

        @Override
        public void onFailure(HttpClientConnection.Failure loss, String reason) {
            finish();
        }

        void late() {
            if (!over && connection != null) {
                connection.abort();
            }
            finish();
        }

        private void finish() {
            if (!over) {
                over = true;
                ResponseHead whole = answered ? seen : null;
                done.accept(
                        whole == null ? null : BoxLink.parseLoad(whole.headers().get(BoxLink.LOAD)), whole);
            }
        }
    }

    @Override
    public SegmentSource.SegmentTransfer fetch(String box, String key, String path, String range, SegmentSink sink) {
        BoxConnectionPool pool = pool(box);
        if (pool == null) {
            sink.onLost(0, "the box is not known any more");
            return new SegmentSource.SegmentTransfer() {
                @Override
                public void setReading(boolean on) {}

                @Override
                public void cancel() {}
            };
        }
        SegmentFetch fetch = new SegmentFetch(this, pool, key, path, range, sink);
        pool.acquire(false, false, fetch);
        return fetch;
    }

    /** Ends all streams and connections that rest. */
    public void close() {
        notes.values().forEach(NotesStream::close);
        pools.values().forEach(pool -> pool.close(taker -> taker.onUnavailable(OutcomeTable.Event.CLOSED)));
    }
}
