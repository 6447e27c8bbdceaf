package spanrill.wire.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventStreamTest {
    private static final String TEXT = ": hello\n\nid: 41\ndata: {\"a\":\ndata: 1}\n\n:\n"
            + "id:42\r\ndata:x\r\n\r\n"
            + "event: other\nid: 9\n\ndata: no number\n\nid: 43\ndata: cut off\n";

    private static List<String> read(int cut) throws HttpProtocolException {
        List<String> told = new ArrayList<>();
        EventStreamParser stream = new EventStreamParser(64, (id, data) -> told.add(id + "=" + data));
        byte[] all = TEXT.getBytes(StandardCharsets.UTF_8);
        stream.feed(Unpooled.wrappedBuffer(all, 0, cut));
        stream.feed(Unpooled.wrappedBuffer(all, cut, all.length - cut));
        return told;
    }

    /** Wherever the pieces are cut; the event that is cut off is never told. */
    @Test
    void readsEventsInAnyPieces() throws HttpProtocolException {
        for (int cut = 0; cut <= TEXT.length(); cut++) {
            assertEquals(List.of("41={\"a\":\n1}", "42=x", "null=no number"), read(cut));
        }
    }

    @Test
    void endlessLinesAndEventsAreFaults() {
        EventStreamParser stream = new EventStreamParser(64, (id, data) -> {});
        assertThrows(HttpProtocolException.class, () -> stream.feed(Unpooled.wrappedBuffer(new byte[65])));
        byte[] line = "data: 0123456789\n".getBytes(StandardCharsets.UTF_8);
        EventStreamParser lines = new EventStreamParser(64, (id, data) -> {});
        assertThrows(HttpProtocolException.class, () -> {
            for (int i = 0; i < 10; i++) {
                lines.feed(Unpooled.wrappedBuffer(line));
            }
        });
    }
}
