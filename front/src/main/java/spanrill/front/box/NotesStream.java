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
 * The notes of one box. It also shows whether the box's process lives; what a broken or refused stream says
 * of that, and when it is opened anew, is decided by {@link BoxProcessMonitor}.
 */
final class NotesStream implements HttpClientConnection.Listener {
    private static final int MOST_LINE = 256;
    private static final int CONNECT_MS = 1000;
    private static final double LEAST_MS = 50;
    private static final double MOST_MS = 2000;

    private final HttpBoxClient side;
    private final SessionCore core;
    private final EventLoop loop;
    private final String box;
    private final InetSocketAddress address;
    private final BoxProcessMonitor watch;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(64);
    private HttpClientConnection connection;
    private boolean closed;

    NotesStream(HttpBoxClient side, SessionCore core, EventLoop loop, String box, InetSocketAddress address) {
        this.side = side;
        this.core = core;
        this.loop = loop;
        this.box = box;
        this.address = address;
        watch = new BoxProcessMonitor(LEAST_MS, MOST_MS, box.hashCode());
    }

    void open() {
        HttpClientConnection.open(
                loop,
                address,
                CONNECT_MS,
                HttpLimits.CLIENT,
                opened -> {
                    connection = opened;
                    if (closed || !opened.send("GET", BoxLink.NOTES_PATH, side.frontHeaders(), new byte[0], this)) {
                        opened.abort();
                    }
                },
                cause -> {
                    core.handleBoxLost(box, SessionEnd.BOX_GONE);
                    applyReaction(watch.onUnreachable(core.hasSessionsAt(box)));
                });
    }

    void close() {
        closed = true;
        if (connection != null) {
            connection.abort();
        }
    }

    private void applyReaction(BoxProcessMonitor.Reaction next) {
        if (closed) {
            return;
        }
        if (next.reopenDelayMs() < 0) {
            side.removeNotesStream(box, this);
        } else if (next.reopenDelayMs() == 0) {
            open();
        } else {
            loop.schedule(
                    () -> {
                        if (!closed) {
                            open();
                        }
                    },
                    (long) next.reopenDelayMs(),
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
        watch.onData();
        while (part.isReadable()) {
            byte next = part.readByte();
            if (next == '\n') {
                handleLine(line.toString(StandardCharsets.US_ASCII));
                line.reset();
            } else if (line.size() >= MOST_LINE) {
                EventLog.warn("notes.malformed", "box", box, "reason", "a line is too long");
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
            EventLog.warn("notes.malformed", "box", box, "reason", "a line is no note");
            return;
        }
        switch (note.kind()) {
            case HELLO -> {
                SessionEnd lost = watch.onHello(note.value());
                if (lost != null) {
                    core.handleBoxLost(box, lost);
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
    public void onFailure(HttpClientConnection.Failure loss, String reason) {
        line.reset();
        applyReaction(watch.onStreamBroken(core.hasSessionsAt(box)));
    }
}
