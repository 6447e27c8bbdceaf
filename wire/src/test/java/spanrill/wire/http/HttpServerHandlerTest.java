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
    private final List<Exchange> came = new ArrayList<>();
    private final List<HttpProtocolException> refused = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(new HttpServerHandler(
            HttpLimits.SERVER, new HttpServerHandler.ConnectionLimits(1000, 5000, 200), came::add, refused::add));

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private String sent() {
        StringBuilder all = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            all.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return all.toString();
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() {
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals(1, came.size());
        came.get(0).respond(200, new Headers(), "text/plain", "one");
        assertEquals(2, came.size());
        came.get(1).respond(404, new Headers(), new byte[0]);
        assertEquals(
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 3\r\n\r\none"
                        + "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
                sent());
        assertTrue(channel.isActive());
    }

    @Test
    void bytesThatCannotBeginARequestAreAnsweredAtOnce() {
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {0x16}));
        assertTrue(sent().startsWith("HTTP/1.1 400 "), "no line end is waited for");
        assertFalse(channel.isActive());
        assertTrue(refused.get(0).isTlsHello());
    }

    @Test
    void aLongWordWithoutALineEndIsNoMethod() {
        send("A".repeat(20));
        assertTrue(channel.isActive());
        send("A".repeat(492));
        assertTrue(sent().startsWith("HTTP/1.1 501 "));
        assertFalse(channel.isActive());
        assertFalse(refused.get(0).isTlsHello());
    }

    @Test
    void aByteThatNoMethodHasIsAnsweredAtOnce() {
        send("GE\u0001");
        assertTrue(sent().startsWith("HTTP/1.1 400 "));
        assertFalse(channel.isActive());
    }

    @Test
    void anExchangeIsAnsweredOnce() {
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        came.get(0).respond(200, new Headers(), new byte[0]);
        came.get(0).respond(503, new Headers(), new byte[0]);
        assertFalse(sent().contains("503"));
    }

    @Test
    void manyPipelinedBytesStopTheReading() {
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" + "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n".repeat(20));
        assertFalse(channel.config().isAutoRead());
        for (int i = 0; i < came.size(); i++) {
            came.get(i).respond(204, new Headers(), new byte[0]);
        }
        assertEquals(21, came.size());
        assertTrue(channel.config().isAutoRead());
    }

    @Test
    void partsGoOutInChunksOrByLength() {
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        came.get(0).start(200, new Headers(), -1);
        came.get(0).write(Unpooled.copiedBuffer("hello", StandardCharsets.US_ASCII));
        came.get(0).end();
        assertTrue(sent().endsWith("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"));
        send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        came.get(1).respond(200, new Headers(), "text/plain", "hello");
        assertTrue(sent().endsWith("content-length: 5\r\n\r\n"));
        send("GET /1 HTTP/1.0\r\n\r\n");
        came.get(2).start(200, new Headers(), -1);
        came.get(2).write(Unpooled.copiedBuffer("all", StandardCharsets.US_ASCII));
        came.get(2).end();
        assertTrue(sent().endsWith("connection: close\r\n\r\nall"));
        assertFalse(channel.isActive());
    }

    @Test
    void anAnswerCutShortClosesTheConnection() {
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        came.get(0).start(200, new Headers(), 10);
        came.get(0).write(Unpooled.copiedBuffer("short", StandardCharsets.US_ASCII));
        came.get(0).end();
        assertFalse(channel.isActive());
    }

    @Test
    void moreBytesThanSaidAreAFault() {
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        came.get(0).start(200, new Headers(), 2);
        assertThrows(
                IllegalStateException.class,
                () -> came.get(0).write(Unpooled.copiedBuffer("three", StandardCharsets.US_ASCII)));
    }

    @Test
    void aHeadThatTricklesIsAnswered408() {
        send("GET / HT");
        channel.advanceTimeBy(900, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        send("T");
        assertTrue(channel.isActive());
        channel.advanceTimeBy(200, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertTrue(sent().startsWith("HTTP/1.1 408 "));
        assertFalse(channel.isActive());
        assertEquals(0, came.size());
    }

    @Test
    void aConnectionWithoutAWordIsClosed() {
        channel.advanceTimeBy(1100, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertFalse(channel.isActive());
        assertEquals("", sent());
    }

    @Test
    void malformedBytesGet400AndTheEnd() {
        send("GET / HTTP/1.1\r\nHost : a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n");
        assertTrue(sent().startsWith("HTTP/1.1 400 "));
        assertFalse(channel.isActive());
        assertEquals(0, came.size());
    }

    @Test
    void continueIsSentAndOtherExpectationsRefused() {
        send("PUT / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        assertEquals("HTTP/1.1 100 Continue\r\n\r\n", sent());
        send("ok");
        assertEquals("ok", new String(came.get(0).body(), StandardCharsets.US_ASCII));
        came.get(0).respond(204, new Headers(), new byte[0]);
        sent();
        send("PUT / HTTP/1.1\r\nHost: a\r\nExpect: wonders\r\nContent-Length: 2\r\n\r\n");
        assertTrue(sent().startsWith("HTTP/1.1 417 "));
    }

    @Test
    void aLostConnectionIsToldOnce() {
        int[] lost = {0};
        send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        came.get(0).onClosed(() -> lost[0]++);
        channel.close();
        came.get(0).respond(200, new Headers(), new byte[0]);
        assertEquals(1, lost[0]);
        assertNull(channel.readOutbound());
    }

    @Test
    void aLineBreakInAHeaderIsAFaultOfTheProgram() {
        ByteBuf out = Unpooled.buffer();
        assertThrows(
                IllegalArgumentException.class,
                () -> HttpWriter.writeResponseHead(out, 200, Headers.of("x", "a\r\nset-cookie: b")));
        assertThrows(
                IllegalArgumentException.class,
                () -> HttpWriter.writeRequestHead(out, "GET", "/a\r\nb", new Headers()));
    }

    @Test
    void rangesAreReadAgainstTheLength() {
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
