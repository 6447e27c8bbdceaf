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

/** A running front: one event loop with the session core, the DASH routes, the box client and the registry client. */
public final class FrontDaemon implements AutoCloseable {
    private static final long KEY_RELOAD_INTERVAL_MS = 1000;
    private static final long CONNECTION_IDLE_TIMEOUT_MS = 60_000;
    private static final int MAX_PIPELINED_BYTES = 16 * 1024;

    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService diskExecutor = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "front-disk");
        thread.setDaemon(true);
        return thread;
    });
    private final FrontSettings settings;
    private final SessionCore core;
    private final TokenStore tokenStore;
    private final HttpBoxClient boxClient;
    private final RegistryClient registryClient;
    private final TokenKeys tokenKeys;
    private final TokenVerifier tokenVerifier;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private final Channel serverChannel;
    private final ConnectionBudget connectionBudget;

    private FrontDaemon(FrontSettings settings, Path baseFolder) throws IOException {
        this.settings = settings;
        EventLoop loop = eventLoops.next();
        connectionBudget = new ConnectionBudget(settings.limits().connections());
        tokenKeys = new TokenKeys(
                baseFolder.resolve(settings.keys()), settings.classes().keySet());
        tokenKeys.reload();
        Clock clock = new Clock();
        tokenStore = TokenStore.open(baseFolder.resolve(settings.state()), loop);
        core = new SessionCore(
                settings.coreSettings(),
                new SessionCore.Host(
                        new EventLoopScheduler(loop, clock), EventLog.sink(), tokenStore, new SessionIdGenerator()));
        core.onReady(() -> ready.complete(null));
        tokenStore.storedTokens().forEach((token, stored) -> {
            if (stored.expiresAt() > clock.now()) {
                core.restoreToken(token, stored.state() == SpentTokenStore.TokenState.USED, stored.expiresAt());
            }
        });
        tokenVerifier = new TokenVerifier(
                tokenKeys, settings.limits().tokenThreads(), settings.limits().tokenWaiting(), clock::now);
        BoxDirectory boxDirectory = new BoxDirectory(settings.limits().boxes());
        boxClient = new HttpBoxClient(settings, loop, core, boxDirectory::box);
        registryClient = new RegistryClient(
                settings,
                loop,
                core,
                boxDirectory,
                new BoxListFile(baseFolder.resolve(settings.state())),
                diskExecutor);
        DashRequestRouter router = new DashRequestRouter(settings, core, boxClient, tokenVerifier, clock);
        loop.submit(() -> {
                    core.start(boxClient);
                    registryClient.start();
                })
                .syncUninterruptibly();
        diskExecutor.execute(() -> Thread.currentThread().setPriority(Thread.MIN_PRIORITY));
        loop.scheduleAtFixedRate(
                () -> diskExecutor.execute(this::reloadKeys),
                KEY_RELOAD_INTERVAL_MS,
                KEY_RELOAD_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        serverChannel = bind(router);
    }

    /**
     * Starts a front.
     *
     * @param baseFolder folder against which relative paths in the settings are resolved
     * @throws IOException when the key file or the token store can't be read, or the address can't be bound
     */
    public static FrontDaemon start(FrontSettings settings, Path baseFolder) throws IOException {
        FrontDaemon daemon = new FrontDaemon(settings, baseFolder);
        EventLog.info(
                "front.listening", "front", settings.me(), "port", daemon.port(), "keys", daemon.tokenKeys.keyIds());
        return daemon;
    }

    private Channel bind(DashRequestRouter router) throws IOException {
        HttpServerHandler.ConnectionLimits connectionLimits = new HttpServerHandler.ConnectionLimits(
                settings.limits().requestMs(), CONNECTION_IDLE_TIMEOUT_MS, MAX_PIPELINED_BYTES);
        var future = HttpServer.bind(
                eventLoops,
                new InetSocketAddress(
                        settings.listen().host(), settings.listen().port()),
                HttpLimits.SERVER,
                connectionLimits,
                this::admit,
                router::route,
                FrontDaemon::logTlsAttempt);
        if (!future.awaitUninterruptibly().isSuccess()) {
            close();
            throw new IOException("can't listen on " + settings.listen().host() + ":"
                    + settings.listen().port() + ": "
                    + future.cause().getMessage());
        }
        return future.channel();
    }

    private static void logTlsAttempt(HttpProtocolException error) {
        if (error.isTlsHello()) {
            EventLog.warn("viewer.tls", "reason", error.getMessage());
        }
    }

    private boolean admit(Channel channel) {
        boolean admitted = connectionBudget.tryOpen();
        if (admitted) {
            channel.closeFuture().addListener(future -> connectionBudget.onClosed());
        }
        if (connectionBudget.becameFull()) {
            EventLog.warn(
                    "limit.connections", "open", connectionBudget.open(), "turnedAway", connectionBudget.rejected());
        }
        return admitted;
    }

    private void reloadKeys() {
        try {
            if (tokenKeys.reload()) {
                EventLog.info("keys.loaded", "keys", tokenKeys.keyIds());
            }
        } catch (IOException e) {
            EventLog.warn("keys.unusable", "reason", e.getMessage());
        }
    }

    /** Returns the port on which the front listens. */
    public int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /** Returns a future that completes once boxes and titles are known, so that viewers can be served. */
    public CompletableFuture<Void> ready() {
        return ready;
    }

    /** Returns the current number of sessions. Must not be called on the event loop. */
    public int sessionCount() {
        return eventLoops
                .next()
                .submit(core::sessionCount)
                .syncUninterruptibly()
                .getNow();
    }

    /** Stops the front at once. Requests and set-ups in progress are lost, as when the process is killed. */
    @Override
    public void close() {
        if (serverChannel != null) {
            serverChannel.close().syncUninterruptibly();
        }
        eventLoops
                .next()
                .submit(() -> {
                    registryClient.close();
                    boxClient.close();
                })
                .awaitUninterruptibly();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        tokenVerifier.close();
        diskExecutor.shutdownNow();
        tokenStore.close();
    }

    /** Waits until the front is closed. */
    public void join() throws InterruptedException {
        serverChannel.closeFuture().await();
    }
}
