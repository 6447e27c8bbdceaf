package spanrill.front;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import spanrill.decisions.BoxDirectory;
import spanrill.decisions.ConnectionBudget;
import spanrill.front.box.HttpBoxClient;
import spanrill.front.dash.DashRequestRouter;
import spanrill.front.list.BoxListFile;
import spanrill.front.list.RegistryClient;
import spanrill.front.store.TokenStore;
import spanrill.front.token.TokenKeys;
import spanrill.front.token.TokenVerifier;
import spanrill.loop.Clock;
import spanrill.loop.EventLoopScheduler;
import spanrill.session.SessionCore;
import spanrill.session.SpentTokenStore;
import spanrill.wire.http.HttpLimits;
import spanrill.wire.http.HttpProtocolException;
import spanrill.wire.http.HttpServer;
import spanrill.wire.http.HttpServerHandler;

/** A front that runs: one event loop with its core, viewer side, box side and list. */
public final class FrontDaemon implements AutoCloseable {
    private static final long KEYS_LOOK_MS = 1000;
    private static final long IDLE_CONNECTION_MS = 60_000;
    private static final int PIPELINED_BYTES = 16 * 1024;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService disk = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "front-disk");
        thread.setDaemon(true);
        return thread;
    });
    private final FrontSettings settings;
    private final SessionCore core;
    private final TokenStore tokens;
    private final HttpBoxClient boxes;
    private final RegistryClient list;
    private final TokenKeys keys;
    private final TokenVerifier gate;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private final Channel server;
    private final ConnectionBudget connections;

    private FrontDaemon(FrontSettings settings, Path base) throws IOException {
        this.settings = settings;
        EventLoop loop = group.next();
        connections = new ConnectionBudget(settings.limits().connections());
        keys = new TokenKeys(base.resolve(settings.keys()), settings.classes().keySet());
        keys.reload();
        Clock clock = new Clock();
        tokens = TokenStore.open(base.resolve(settings.state()), loop);
        core = new SessionCore(
                settings.coreSettings(),
                new SessionCore.Host(
                        new EventLoopScheduler(loop, clock), EventLog.sink(), tokens, new SessionIdGenerator()));
        core.onReady(() -> ready.complete(null));
        tokens.storedTokens().forEach((token, kept) -> {
            if (kept.expiresAt() > clock.now()) {
                core.restoreToken(token, kept.fate() == SpentTokenStore.TokenState.USED, kept.expiresAt());
            }
        });
        gate = new TokenVerifier(
                keys, settings.limits().tokenThreads(), settings.limits().tokenWaiting(), clock::now);
        BoxDirectory book = new BoxDirectory(settings.limits().boxes());
        boxes = new HttpBoxClient(settings, loop, core, book::box);
        list = new RegistryClient(settings, loop, core, book, new BoxListFile(base.resolve(settings.state())), disk);
        DashRequestRouter viewers = new DashRequestRouter(settings, core, boxes, gate, clock);
        loop.submit(() -> {
                    core.start(boxes);
                    list.start();
                })
                .syncUninterruptibly();
        disk.execute(() -> Thread.currentThread().setPriority(Thread.MIN_PRIORITY));
        loop.scheduleAtFixedRate(
                () -> disk.execute(this::reloadKeys), KEYS_LOOK_MS, KEYS_LOOK_MS, TimeUnit.MILLISECONDS);
        server = bind(viewers);
    }

    /**
     * Starts a front.
     *
     * @param base folder that relative paths of the settings start from
     * @throws IOException when the keys can't be read or the address can't be had
     */
    public static FrontDaemon start(FrontSettings settings, Path base) throws IOException {
        FrontDaemon daemon = new FrontDaemon(settings, base);
        EventLog.info("front.listening", "front", settings.me(), "port", daemon.port(), "keys", daemon.keys.keyIds());
        return daemon;
    }

    private Channel bind(DashRequestRouter viewers) throws IOException {
        HttpServerHandler.ConnectionLimits times = new HttpServerHandler.ConnectionLimits(
                settings.limits().requestMs(), IDLE_CONNECTION_MS, PIPELINED_BYTES);
        var future = HttpServer.bind(
                group,
                new InetSocketAddress(
                        settings.listen().host(), settings.listen().port()),
                HttpLimits.SERVER,
                times,
                this::admit,
                viewers::route,
                FrontDaemon::logTlsAttempt);
        if (!future.awaitUninterruptibly().isSuccess()) {
            close();
            throw new IOException("can't listen on " + settings.listen().host() + ":"
                    + settings.listen().port() + ": "
                    + future.cause().getMessage());
        }
        return future.channel();
    }

    private static void logTlsAttempt(HttpProtocolException fault) {
        if (fault.isTlsHello()) {
            EventLog.warn("viewer.tls", "reason", fault.getMessage());
        }
    }

    private boolean admit(Channel channel) {
        boolean stays = connections.tryOpen();
        if (stays) {
            channel.closeFuture().addListener(f -> connections.onClosed());
        }
        if (connections.becameFull()) {
            EventLog.warn("limit.connections", "open", connections.open(), "turnedAway", connections.rejected());
        }
        return stays;
    }

    private void reloadKeys() {
        try {
            if (keys.reload()) {
                EventLog.info("keys.loaded", "keys", keys.keyIds());
            }
        } catch (IOException e) {
            EventLog.warn("keys.unusable", "reason", e.getMessage());
        }
    }

    /** The port that it listens on. */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Complete once it can serve viewers: boxes and titles are known. */
    public CompletableFuture<Void> ready() {
        return ready;
    }

    /** Sessions held now; may be asked from any thread. */
    public int sessionCount() {
        return group.next().submit(core::sessionCount).syncUninterruptibly().getNow();
    }

    /** Stops at once: what is under way is lost, as when the process is killed. */
    @Override
    public void close() {
        if (server != null) {
            server.close().syncUninterruptibly();
        }
        group.next()
                .submit(() -> {
                    list.close();
                    boxes.close();
                })
                .awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        gate.close();
        disk.shutdownNow();
        tokens.close();
    }

    /** Waits until it is stopped. */
    public void join() throws InterruptedException {
        server.closeFuture().await();
    }
}
