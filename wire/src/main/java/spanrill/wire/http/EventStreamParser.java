package spanrill.wire.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Parses server-sent events (WHATWG HTML, section 9.2.6) from the fragments of a body. An event that is truncated
 * before its blank line is never delivered. The size of lines and of event data is limited.
 */
public final class EventStreamParser {
    /** Receives the parsed events. */
    public interface Sink {
        /**
         * Handles an event.
         *
         * @param id value of its {@code id} field, or null
         * @param data values of its {@code data} fields, joined by newlines
         */
        void onEvent(String id, String data);
    }

    private final int maxBytes;
    private final Sink sink;
    private byte[] line = new byte[256];
    private int length;
    private boolean afterCr;
    private String id;
    private StringBuilder data;

    /** Creates a parser that limits each line and the data of each event to {@code maxBytes} bytes. */
    public EventStreamParser(int maxBytes, Sink sink) {
        this.maxBytes = maxBytes;
        this.sink = sink;
    }

    /**
     * Parses a fragment.
     *
     * @throws HttpProtocolException when a line or an event is too long
     */
    public void feed(ByteBuf fragment) throws HttpProtocolException {
        while (fragment.isReadable()) {
            byte current = fragment.readByte();
            if (current == '\n' && afterCr) {
                afterCr = false;
                continue;
            }
            afterCr = current == '\r';
            if (current == '\n' || current == '\r') {
                endLine();
                length = 0;
                continue;
            }
            if (length >= maxBytes) {
                throw new HttpProtocolException(400, "a line of the event stream is too long");
            }
            if (length == line.length) {
                line = Arrays.copyOf(line, 2 * length);
            }
            line[length++] = current;
        }
    }

    private void endLine() throws HttpProtocolException {
        if (length == 0) {
            if (data != null) {
                String eventData = data.toString();
                String eventId = id;
                data = null;
                id = null;
                sink.onEvent(eventId, eventData);
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
            } else if (data.length() + value.length() < maxBytes) {
                data.append('\n').append(value);
            } else {
                throw new HttpProtocolException(400, "the data of an event is too long");
            }
        }
    }
}
