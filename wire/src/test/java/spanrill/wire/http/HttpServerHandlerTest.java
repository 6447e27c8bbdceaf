package spanrill.wire.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpServerHandlerTest {
    private final List<Exchange> exchanges = new ArrayList<>();
    private final List<HttpProtocolException> refused = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(new HttpServerHandler(
            HttpLimits.SERVER, new HttpServerHandler.ConnectionLimits(1000, 5000, 200), exchanges::add, refused::add));

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private String takeOutput() {
        StringBuilder output = new StringBuilder();
        for (ByteBuf buffer = channel.readOutbound(); buffer != null; buffer = channel.readOutbound()) {
            output.append(buffer.toString(StandardCharsets.US_ASCII));
            buffer.release();
        }
        return output.toString();
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() {
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals(1, exchanges.size());
        exchanges.get(0).respond(200, new Headers(), "text/plain", "one");
        assertEquals(2, exchanges.size());
        exchanges.get(1).respond(404, new Headers(), new byte[0]);
        assertEquals(
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 3\r\n\r\none"
                        + "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
                takeOutput());
        assertTrue(channel.isActive());
    }

    @Test
    void tlsHandshakeIsRejectedAtTheFirstByte() {
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {0x16}));
        assertTrue(takeOutput().startsWith("HTTP/1.1 400 "), "the response must not wait for the end of the line");
        assertFalse(channel.isActive());
        assertTrue(refused.get(0).isTlsHello());
    }

    @Test
    void methodAboveTheMaximumLengthIsRejectedBeforeTheLineEnds() {
        send("A".repeat(20));
        assertTrue(channel.isActive());
        send("A".repeat(492));
        assertTrue(takeOutput().startsWith("HTTP/1.1 501 "));
        assertFalse(channel.isActive());
        assertFalse(refused.get(0).isTlsHello());
    }

    @Test
    void invalidMethodByteIsRejectedBeforeTheLineEnds() {
        send("GE\u0001");
        assertTrue(takeOutput().startsWith("HTTP/1.1 400 "));
        assertFalse(channel.isActive());
    }

    @Test
    void secondResponseOfAnExchangeIsDiscarded() {
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        exchanges.get(0).respond(200, new Headers(), new byte[0]);
        exchanges.get(0).respond(503, new Headers(), new byte[0]);
        assertFalse(takeOutput().contains("503"));
    }

    @Test
    void readingPausesWhilePipelinedBytesExceedTheLimit() {
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" + "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n".repeat(20));
        assertFalse(channel.config().isAutoRead());
        for (int i = 0; i < exchanges.size(); i++) {
            exchanges.get(i).respond(204, new Headers(), new byte[0]);
        }
        assertEquals(21, exchanges.size());
        assertTrue(channel.config().isAutoRead());
    }

    @Test
    void bodiesAreWrittenInChunksByLengthOrUntilClose() {
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        exchanges.get(0).start(200, new Headers(), -1);
        exchanges.get(0).write(Unpooled.copiedBuffer("hello", StandardCharsets.US_ASCII));
        exchanges.get(0).end();
        assertTrue(takeOutput().endsWith("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"));
        send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        exchanges.get(1).respond(200, new Headers(), "text/plain", "hello");
        assertTrue(takeOutput().endsWith("content-length: 5\r\n\r\n"));
        send("GET /1 HTTP/1.0\r\n\r\n");
        exchanges.get(2).start(200, new Headers(), -1);
        exchanges.get(2).write(Unpooled.copiedBuffer("all", StandardCharsets.US_ASCII));
        exchanges.get(2).end();
        assertTrue(takeOutput().endsWith("connection: close\r\n\r\nall"));
        assertFalse(channel.isActive());
    }

    @Test
    void responseShorterThanItsLengthClosesTheConnection() {
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        exchanges.get(0).start(200, new Headers(), 10);
        exchanges.get(0).write(Unpooled.copiedBuffer("short", StandardCharsets.US_ASCII));
        exchanges.get(0).end();
        assertFalse(channel.isActive());
    }

    @Test
    void bodyLongerThanItsLengthIsRejected() {
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        exchanges.get(0).start(200, new Headers(), 2);
        assertThrows(
                IllegalStateException.class,
                () -> exchanges.get(0).write(Unpooled.copiedBuffer("three", StandardCharsets.US_ASCII)));
    }

    @Test
    void requestNotCompleteWithinItsTimeoutIsAnswered408() {
        send("GET / HT");
        channel.advanceTimeBy(900, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        send("T");
        assertTrue(channel.isActive());
        channel.advanceTimeBy(200, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertTrue(takeOutput().startsWith("HTTP/1.1 408 "));
        assertFalse(channel.isActive());
        assertEquals(0, exchanges.size());
    }

    @Test
    void connectionWithoutRequestIsClosedAfterTheTimeout() {
        channel.advanceTimeBy(1100, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertFalse(channel.isActive());
        assertEquals("", takeOutput());
    }

    @Test
    void malformedRequestIsAnswered400AndClosesTheConnection() {
        send("GET / HTTP/1.1\r\nHost : a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n");
        assertTrue(takeOutput().startsWith("HTTP/1.1 400 "));
        assertFalse(channel.isActive());
        assertEquals(0, exchanges.size());
    }

    @Test
    void continueIsSentAndOtherExpectationsAreRejected() {
        send("PUT / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        assertEquals("HTTP/1.1 100 Continue\r\n\r\n", takeOutput());
        send("ok");
        assertEquals("ok", new String(exchanges.get(0).body(), StandardCharsets.US_ASCII));
        exchanges.get(0).respond(204, new Headers(), new byte[0]);
        takeOutput();
        send("PUT / HTTP/1.1\r\nHost: a\r\nExpect: wonders\r\nContent-Length: 2\r\n\r\n");
        assertTrue(takeOutput().startsWith("HTTP/1.1 417 "));
    }

    @Test
    void onClosedRunsOnceAfterConnectionLoss() {
        int[] closedCalls = {0};
        send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        exchanges.get(0).onClosed(() -> closedCalls[0]++);
        channel.close();
        exchanges.get(0).respond(200, new Headers(), new byte[0]);
        assertEquals(1, closedCalls[0]);
        assertNull(channel.readOutbound());
    }

    @Test
    void lineBreakInAHeaderIsRejected() {
        ByteBuf out = Unpooled.buffer();
        assertThrows(
                IllegalArgumentException.class,
                () -> HttpWriter.writeResponseHead(out, 200, Headers.of("x", "a\r\nset-cookie: b")));
        assertThrows(
                IllegalArgumentException.class,
                () -> HttpWriter.writeRequestHead(out, "GET", "/a\r\nb", new Headers()));
    }

    @Test
    void rangesAreResolvedAgainstTheContentLength() {
        assertEquals(new ByteRange(2, 4), ByteRange.resolve("bytes=2-4", 10));
        assertEquals(new ByteRange(2, 9), ByteRange.resolve("bytes=2-", 10));
        assertEquals(new ByteRange(7, 9), ByteRange.resolve("bytes=-3", 10));
        assertEquals(new ByteRange(0, 9), ByteRange.resolve("bytes=-30", 10));
        assertNull(ByteRange.resolve("bytes=10-", 10));
        assertNull(ByteRange.resolve("bytes=5-4", 10));
        assertFalse(ByteRange.isSupported("bytes=1-2,4-5"));
        assertFalse(ByteRange.isSupported("lines=1-2"));
    }
}
