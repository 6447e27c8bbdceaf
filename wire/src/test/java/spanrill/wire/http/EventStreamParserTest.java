package spanrill.wire.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventStreamParserTest {
    private static final String STREAM = ": hello\n\nid: 41\ndata: {\"a\":\ndata: 1}\n\n:\n"
            + "id:42\r\ndata:x\r\n\r\n"
            + "event: other\nid: 9\n\ndata: no number\n\nid: 43\ndata: cut off\n";

    private static List<String> parseSplitAt(int offset) throws HttpProtocolException {
        List<String> events = new ArrayList<>();
        EventStreamParser parser = new EventStreamParser(64, (id, data) -> events.add(id + "=" + data));
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        parser.feed(Unpooled.wrappedBuffer(bytes, 0, offset));
        parser.feed(Unpooled.wrappedBuffer(bytes, offset, bytes.length - offset));
        return events;
    }

    /** The stream is split at every offset; the truncated last event must never be delivered. */
    @Test
    void parsesTheSameEventsWhateverTheFragments() throws HttpProtocolException {
        for (int offset = 0; offset <= STREAM.length(); offset++) {
            assertEquals(List.of("41={\"a\":\n1}", "42=x", "null=no number"), parseSplitAt(offset));
        }
    }

    @Test
    void linesAndEventsAboveTheLimitAreRejected() {
        EventStreamParser parser = new EventStreamParser(64, (id, data) -> {});
        assertThrows(HttpProtocolException.class, () -> parser.feed(Unpooled.wrappedBuffer(new byte[65])));
        byte[] line = "data: 0123456789\n".getBytes(StandardCharsets.UTF_8);
        EventStreamParser eventParser = new EventStreamParser(64, (id, data) -> {});
        assertThrows(HttpProtocolException.class, () -> {
            for (int i = 0; i < 10; i++) {
                eventParser.feed(Unpooled.wrappedBuffer(line));
            }
        });
    }
}
