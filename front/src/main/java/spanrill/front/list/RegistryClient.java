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
 * Long-polls the registry: {@code GET /boxes?front=N&epoch=E&version=V} is answered when there is something
 * newer, or 204 after the registry's own time. The module hears each list, and each call that failed.
 */
public final class RegistryClient implements HttpClientConnection.Listener {
    private static final int MOST_BYTES = 16 << 20;
    private static final int CONNECT_MS = 1000;
    private static final long POLL_MS = 40_000;

    private final FrontSettings settings;
    private final EventLoop loop;
    private final SessionCore core;
    private final BoxDirectory book;
    private final BoxListFile kept;
    private final Executor disk;
    private final Backoff backoff;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpClientConnection connection;
    private ScheduledFuture<?> late;
    private int status;
    private boolean closed;

    /** A client that fills the book; the list is kept by {@code disk}, off the loop. */
    public RegistryClient(
            FrontSettings settings,
            EventLoop loop,
            SessionCore core,
            BoxDirectory book,
            BoxListFile kept,
            Executor disk) {
        this.settings = settings;
        this.loop = loop;
        this.core = core;
        this.book = book;
        this.kept = kept;
        this.disk = disk;
        backoff = new Backoff(100, 5000, settings.seed() + settings.me());
    }

    /** Takes the kept list in, if there is one, and begins to poll. */
    public void start() {
        try {
            byte[] json = kept.read();
            if (json != null) {
                BoxListDocument document = BoxListDocument.parse(json);
                BoxDirectory.ListUpdate sheet = document.sheet();
                applyUpdate(
                        new BoxDirectory.ListUpdate(ListKind.KEPT, sheet.epoch(), -1, sheet.version(), sheet.boxes()),
                        document);
            }
        } catch (IOException | spanrill.front.list.BoxListDocument.InvalidListException e) {
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
        FrontSettings.Address at = settings.registry();
        HttpClientConnection.open(
                loop,
                new InetSocketAddress(at.host(), at.port()),
                CONNECT_MS,
                HttpLimits.CLIENT,
                opened -> {
                    connection = opened;
                    sendPoll();
                },
                cause -> handleFailure("can't connect"));
    }

    private void sendPoll() {
        body.reset();
        late = loop.schedule(
                () -> {
                    connection.abort();
                    handleFailure("no answer in time");
                },
                POLL_MS,
                TimeUnit.MILLISECONDS);
        String target = "/boxes?front=" + settings.me() + "&epoch=" + book.epoch() + "&version=" + book.version();
        if (closed || !connection.send("GET", target, Headers.of("host", "registry"), new byte[0], this)) {
            late.cancel(false);
            handleFailure("the connection ended");
        }
    }

    @Override
    public void onHead(ResponseHead head) {
        status = head.status();
    }

    @Override
    public void onData(ByteBuf part) {
        if (body.size() + part.readableBytes() > MOST_BYTES) {
            late.cancel(false);
            connection.abort();
            handleFailure("the list is larger than " + MOST_BYTES + " bytes");
            return;
        }
        byte[] bytes = new byte[part.readableBytes()];
        part.readBytes(bytes);
        body.write(bytes, 0, bytes.length);
    }

    @Override
    public void onEnd() {
        late.cancel(false);
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
            if (!applyUpdate(document.sheet(), document)) {
                EventLog.info("list.gap", "version", document.sheet().version());
            } else if (document.sheet().kind() == ListKind.WHOLE) {
                disk.execute(() -> saveList(json));
            }
            backoff.reset();
            poll();
        } catch (spanrill.front.list.BoxListDocument.InvalidListException fault) {
            handleFailure("the list " + fault.getMessage());
        }
    }

    private boolean applyUpdate(BoxDirectory.ListUpdate sheet, BoxListDocument document) {
        List<Server> told = book.apply(sheet);
        if (told == null) {
            return false;
        }
        if (document.titles() != null) {
            core.updateCatalogue(document.titles());
        }
        EventLog.info("list", "kind", sheet.kind(), "version", sheet.version(), "boxes", told.size());
        core.updateServers(sheet.kind(), told);
        return true;
    }

    private void saveList(byte[] json) {
        try {
            kept.write(json);
        } catch (IOException e) {
            EventLog.warn("list.kept.failed", "reason", e.getMessage());
        }
    }

    @Override
    public void onFailure(HttpClientConnection.Failure loss, String reason) {
        late.cancel(false);
        handleFailure(reason);
    }

    private void handleFailure(String reason) {
        if (closed) {
            return;
        }
        EventLog.warn("list.failed", "reason", reason);
        core.updateServers(ListKind.FAILED, List.of());
        loop.schedule(this::poll, (long) backoff.nextDelayMs(), TimeUnit.MILLISECONDS);
    }

    /** Polls no more. */
    public void close() {
        closed = true;
        if (connection != null) {
            connection.abort();
        }
    }
}
