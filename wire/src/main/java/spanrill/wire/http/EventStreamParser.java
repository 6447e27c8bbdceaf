package spanrill.wire.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads server-sent events (WHATWG HTML, section 9.2.6) from the pieces of a body. An event that is cut off
 * before its blank line is never told. Lines and data are bounded.
 */
public final class EventStreamParser {
    /** Takes events. */
    public interface Sink {
        /**
         * An event.
         *
         * @param id its {@code id}, or null
         * @param data its {@code data}, lines joined by newlines
         */
        void onEvent(String id, String data);
    }

    private final int most;
    private final Sink sink;
    private byte[] line = new byte[256];
    private int length;
    private boolean afterReturn;
    private String id;
    private StringBuilder data;

    /** A line, and the data of one event, may have so many bytes. */
    public EventStreamParser(int most, Sink sink) {
        this.most = most;
        this.sink = sink;
    }

    /**
     * Reads a piece.
     *
     * @throws HttpProtocolException when a line or an event is too long
     */
    public void feed(ByteBuf part) throws HttpProtocolException {
        while (part.isReadable()) {
            byte next = part.readByte();
            if (next == '\n' && afterReturn) {
                afterReturn = false;
                continue;
            }
            afterReturn = next == '\r';
            if (next == '\n' || next == '\r') {
                line();
                length = 0;
                continue;
            }
            if (length >= most) {
                throw new HttpProtocolException(400, "a line of an event stream is too long");
            }
            if (length == line.length) {
                line = Arrays.copyOf(line, 2 * length);
            }
            line[length++] = next;
        }
    }

    private void line() throws HttpProtocolException {
        if (length == 0) {
            if (data != null) {
                String told = data.toString();
                String number = id;
                data = null;
                id = null;
                sink.onEvent(number, told);
            }
            id = null;
            return;
        }
        String text = new String(line, 0, length, StandardCharsets.UTF_8);
        int colon = text.indexOf(':');
        if (colon == 0) {
            return;
        }
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + 1);
        value = value.startsWith(" ") ? value.substring(1) : value;
        if (field.equals("id")) {
            id = value;
        } else if (field.equals("data")) {
            if (data == null) {
                data = new StringBuilder(value);
            } else if (data.length() + value.length() < most) {
                data.append('\n').append(value);
            } else {
                throw new HttpProtocolException(400, "an event is too long");
            }
        }
    }
}
