package spanrill.front.box;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import spanrill.SessionControl.NoteKind;
import spanrill.decisions.Backoff;
import spanrill.decisions.SessionEnd;
import spanrill.front.EventLog;
import spanrill.session.SessionCore;
import spanrill.wire.box.BoxLink;
import spanrill.wire.box.Note;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;
import spanrill.wire.http.ResponseHead;

/**
 * The notes of one box. It also shows whether the box's process lives: when the stream breaks it is opened
 * anew at once, and sessions count as lost when the box refuses that or another process answers.
 */
final class NotesStream implements HttpClientConnection.Listener {
    private static final int MOST_LINE = 256;
    private static final int CONNECT_MS = 1000;

    private final HttpBoxSide side;
    private final SessionCore core;
    private final EventLoop loop;
    private final String box;
    private final InetSocketAddress address;
    private final Backoff backoff;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(64);
    private HttpClientConnection connection;
    private double process = Double.NaN;
    private boolean closed;

    NotesStream(HttpBoxSide side, SessionCore core, EventLoop loop, String box, InetSocketAddress address) {
        this.side = side;
        this.core = core;
        this.loop = loop;
        this.box = box;
        this.address = address;
        backoff = new Backoff(50, 2000, box.hashCode());
    }

    void open() {
        HttpClientConnection.open(loop, address, CONNECT_MS, HttpLimits.CLIENT, opened -> {
            connection = opened;
            if (closed || !opened.send("GET", BoxLink.NOTES, side.headers(), new byte[0], this)) {
                opened.abandon();
            }
        }, cause -> {
            // Nothing listens there: the process that played the sessions is gone.
            core.boxLost(box, SessionEnd.BOX_GONE);
            again();
        });
    }

    void close() {
        closed = true;
        if (connection != null) {
            connection.abandon();
        }
    }

    private void again() {
        if (closed) {
            return;
        }
        if (!core.anyAt(box)) {
            side.forgetNotes(box, this);
            return;
        }
        loop.schedule(() -> {
            if (!closed) {
                open();
            }
        }, (long) backoff.failed(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void head(ResponseHead head) {
        if (head.status() != 200) {
            EventLog.warn("notes.refused", "box", box, "status", head.status());
        }
    }

    @Override
    public void data(ByteBuf part) {
        backoff.succeeded();
        while (part.isReadable()) {
            byte next = part.readByte();
            if (next == '\n') {
                take(line.toString(StandardCharsets.US_ASCII));
                line.reset();
            } else if (line.size() >= MOST_LINE) {
                EventLog.warn("notes.malformed", "box", box, "reason", "a line is too long");
                connection.abandon();
                lost(HttpClientConnection.Loss.MALFORMED, "line too long");
                return;
            } else {
                line.write(next);
            }
        }
    }

    private void take(String text) {
        Note note = Note.parse(text);
        if (note == null) {
            EventLog.warn("notes.malformed", "box", box, "reason", "a line is no note");
            return;
        }
        switch (note.kind()) {
            case HELLO -> {
                if (!Double.isNaN(process) && process != note.value()) {
                    core.boxLost(box, SessionEnd.BOX_RESTARTED);
                }
                process = note.value();
            }
            case OVER -> core.lost(note.attempt(), SessionEnd.BOX_ENDED);
            case DELIVERED -> core.note(box, note.attempt(), NoteKind.DELIVERED, note.value());
            case LINK -> core.note(box, note.attempt(), NoteKind.LINK_USE, note.value());
            default -> core.note(box, note.attempt(), NoteKind.UPLINK_USE, note.value());
        }
    }

    @Override
    public void end() {
        lost(HttpClientConnection.Loss.CLOSED, "the stream ended");
    }

    @Override
    public void lost(HttpClientConnection.Loss loss, String reason) {
        line.reset();
        if (!closed) {
            // At once: whether somebody still listens there decides if sessions are lost.
            open();
        }
    }
}
