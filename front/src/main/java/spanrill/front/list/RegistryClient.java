package spanrill.front.list;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Server;
import spanrill.decisions.Backoff;
import spanrill.decisions.BoxDirectory;
import spanrill.front.EventLog;
import spanrill.front.FrontSettings;
import spanrill.session.SessionCore;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;
import spanrill.wire.http.ResponseHead;

/**
 * Long-polls the registry: {@code GET /boxes?front=N&epoch=E&version=V} is answered when the registry has a newer
 * list, or with 204 after the registry's own timeout. Each list and each failed poll is passed to the session core.
 */
public final class RegistryClient implements HttpClientConnection.Listener {
    private static final int MAX_LIST_BYTES = 16 << 20;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final long POLL_TIMEOUT_MS = 40_000;

    private final FrontSettings settings;
    private final EventLoop loop;
    private final SessionCore core;
    private final BoxDirectory directory;
    private final BoxListFile listFile;
    private final Executor diskExecutor;
    private final Backoff backoff;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpClientConnection connection;
    private ScheduledFuture<?> pollTimeout;
    private int status;
    private boolean closed;

    /** Creates a client that updates the directory. Lists are written to disk by the executor, off the event loop. */
    public RegistryClient(
            FrontSettings settings,
            EventLoop loop,
            SessionCore core,
            BoxDirectory directory,
            BoxListFile listFile,
            Executor diskExecutor) {
        this.settings = settings;
        this.loop = loop;
        this.core = core;
        this.directory = directory;
        this.listFile = listFile;
        this.diskExecutor = diskExecutor;
        backoff = new Backoff(100, 5000, settings.seed() + settings.me());
    }

    /** Applies the stored list, if there is one, and starts polling. */
    public void start() {
        try {
            byte[] json = listFile.read();
            if (json != null) {
                BoxListDocument document = BoxListDocument.parse(json);
                BoxDirectory.ListUpdate update = document.update();
                applyUpdate(
                        new BoxDirectory.ListUpdate(
                                ListKind.KEPT, update.epoch(), -1, update.version(), update.boxes()),
                        document);
            }
        } catch (IOException | BoxListDocument.InvalidListException e) {
            EventLog.warn("list.kept.unusable", "reason", e.getMessage());
        }
        poll();
    }

    private void poll() {
        if (closed) {
            return;
        }
        if (connection != null && connection.isAvailable()) {
            sendPoll();
            return;
        }
        FrontSettings.Address address = settings.registry();
        HttpClientConnection.open(
                loop,
                new InetSocketAddress(address.host(), address.port()),
                CONNECT_TIMEOUT_MS,
                HttpLimits.CLIENT,
                opened -> {
                    connection = opened;
                    sendPoll();
                },
                cause -> handleFailure("can't connect to the registry"));
    }

    private void sendPoll() {
        body.reset();
        pollTimeout = loop.schedule(
                () -> {
                    connection.abort();
                    handleFailure("no answer from the registry within " + POLL_TIMEOUT_MS + " ms");
                },
                POLL_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
        String target =
                "/boxes?front=" + settings.me() + "&epoch=" + directory.epoch() + "&version=" + directory.version();
        if (closed || !connection.send("GET", target, Headers.of("host", "registry"), new byte[0], this)) {
            pollTimeout.cancel(false);
            handleFailure("the connection to the registry is closed");
        }
    }

    @Override
    public void onHead(ResponseHead head) {
        status = head.status();
    }

    @Override
    public void onData(ByteBuf part) {
        if (body.size() + part.readableBytes() > MAX_LIST_BYTES) {
            pollTimeout.cancel(false);
            connection.abort();
            handleFailure("the list is larger than " + MAX_LIST_BYTES + " bytes");
            return;
        }
        byte[] bytes = new byte[part.readableBytes()];
        part.readBytes(bytes);
        body.write(bytes, 0, bytes.length);
    }

    @Override
    public void onEnd() {
        pollTimeout.cancel(false);
        if (status == 204) {
            backoff.reset();
            poll();
            return;
        }
        if (status != 200) {
            handleFailure("the registry answered " + status);
            return;
        }
        try {
            byte[] json = body.toByteArray();
            BoxListDocument document = BoxListDocument.parse(json);
            if (!applyUpdate(document.update(), document)) {
                EventLog.info("list.gap", "version", document.update().version());
            } else if (document.update().kind() == ListKind.WHOLE) {
                diskExecutor.execute(() -> saveList(json));
            }
            backoff.reset();
            poll();
        } catch (BoxListDocument.InvalidListException e) {
            handleFailure("invalid box list: " + e.getMessage());
        } catch (RuntimeException e) {
            // The list may be applied in part, so its version must not count as known.
            EventLog.error("list.fault", e);
            directory.requestWholeList();
            handleFailure("the list could not be applied");
        }
    }

    private boolean applyUpdate(BoxDirectory.ListUpdate update, BoxListDocument document) {
        List<Server> servers = directory.apply(update);
        if (servers == null) {
            return false;
        }
        if (document.titles() != null) {
            core.updateCatalogue(document.titles());
        }
        EventLog.info("list", "kind", update.kind(), "version", update.version(), "boxes", servers.size());
        core.updateServers(update.kind(), servers);
        return true;
    }

    private void saveList(byte[] json) {
        try {
            listFile.write(json);
        } catch (IOException e) {
            EventLog.warn("list.kept.failed", "reason", e.getMessage());
        }
    }

    @Override
    public void onFailure(HttpClientConnection.Failure failure, String reason) {
        pollTimeout.cancel(false);
        handleFailure(reason);
    }

    private void handleFailure(String reason) {
        if (closed) {
            return;
        }
        EventLog.warn("list.failed", "reason", reason);
        // Scheduled first: polling goes on whatever becomes of the report.
        loop.schedule(this::poll, (long) backoff.nextDelayMs(), TimeUnit.MILLISECONDS);
        core.updateServers(ListKind.FAILED, List.of());
    }

    /** Stops polling and closes the connection. */
    public void close() {
        closed = true;
        if (connection != null) {
            connection.abort();
        }
    }
}
