package spanrill.front.box;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import spanrill.SessionControl.NoteKind;
import spanrill.decisions.BoxProcessMonitor;
import spanrill.decisions.SessionEnd;
import spanrill.front.EventLog;
import spanrill.session.SessionCore;
import spanrill.wire.box.BoxLink;
import spanrill.wire.box.Note;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;
import spanrill.wire.http.ResponseHead;

/**
 * Reads the notes of one box. The state of the stream also shows whether the process of the box runs:
 * {@link BoxProcessMonitor} decides what a broken or refused stream means and when the stream is reopened.
 */
final class NotesStream implements HttpClientConnection.Listener {
    private static final int MAX_LINE_BYTES = 256;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final double MIN_REOPEN_DELAY_MS = 50;
    private static final double MAX_REOPEN_DELAY_MS = 2000;

    private final HttpBoxClient boxClient;
    private final SessionCore core;
    private final EventLoop loop;
    private final String box;
    private final InetSocketAddress address;
    private final BoxProcessMonitor monitor;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(64);
    private HttpClientConnection connection;
    private boolean closed;

    NotesStream(HttpBoxClient boxClient, SessionCore core, EventLoop loop, String box, InetSocketAddress address) {
        this.boxClient = boxClient;
        this.core = core;
        this.loop = loop;
        this.box = box;
        this.address = address;
        monitor = new BoxProcessMonitor(MIN_REOPEN_DELAY_MS, MAX_REOPEN_DELAY_MS, box.hashCode());
    }

    void open() {
        HttpClientConnection.open(
                loop,
                address,
                CONNECT_TIMEOUT_MS,
                HttpLimits.CLIENT,
                opened -> {
                    connection = opened;
                    if (closed
                            || !opened.send("GET", BoxLink.NOTES_PATH, boxClient.frontHeaders(), new byte[0], this)) {
                        opened.abort();
                    }
                },
                cause -> {
                    core.handleBoxLost(box, SessionEnd.BOX_GONE);
                    applyReaction(monitor.onUnreachable(core.hasSessionsAt(box)));
                });
    }

    void close() {
        closed = true;
        if (connection != null) {
            connection.abort();
        }
    }

    private void applyReaction(BoxProcessMonitor.Reaction reaction) {
        if (closed) {
            return;
        }
        if (reaction.reopenDelayMs() < 0) {
            boxClient.removeNotesStream(box, this);
        } else if (reaction.reopenDelayMs() == 0) {
            open();
        } else {
            loop.schedule(
                    () -> {
                        if (!closed) {
                            open();
                        }
                    },
                    (long) reaction.reopenDelayMs(),
                    TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void onHead(ResponseHead head) {
        if (head.status() != 200) {
            EventLog.warn("notes.refused", "box", box, "status", head.status());
        }
    }

    @Override
    public void onData(ByteBuf part) {
        monitor.onData();
        while (part.isReadable()) {
            byte next = part.readByte();
            if (next == '\n') {
                handleLine(line.toString(StandardCharsets.US_ASCII));
                line.reset();
            } else if (line.size() >= MAX_LINE_BYTES) {
                EventLog.warn("notes.malformed", "box", box, "reason", "line longer than " + MAX_LINE_BYTES + " bytes");
                connection.abort();
                onFailure(HttpClientConnection.Failure.MALFORMED, "line too long");
                return;
            } else {
                line.write(next);
            }
        }
    }

    private void handleLine(String text) {
        Note note = Note.parse(text);
        if (note == null) {
            EventLog.warn("notes.malformed", "box", box, "reason", "unrecognized line");
            return;
        }
        switch (note.kind()) {
            case HELLO -> {
                SessionEnd lostReason = monitor.onHello(note.value());
                if (lostReason != null) {
                    core.handleBoxLost(box, lostReason);
                }
            }
            case OVER -> core.handleAttemptLost(note.attempt(), SessionEnd.BOX_ENDED);
            case DELIVERED -> core.handleNote(box, note.attempt(), NoteKind.DELIVERED, note.value());
            case LINK -> core.handleNote(box, note.attempt(), NoteKind.LINK_USE, note.value());
            default -> core.handleNote(box, note.attempt(), NoteKind.UPLINK_USE, note.value());
        }
    }

    @Override
    public void onEnd() {
        onFailure(HttpClientConnection.Failure.CLOSED, "the stream ended");
    }

    @Override
    public void onFailure(HttpClientConnection.Failure failure, String reason) {
        line.reset();
        applyReaction(monitor.onStreamBroken(core.hasSessionsAt(box)));
    }
}
