package spanrill.wire.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HttpParserTest {
    private static final String[] VALID_REQUESTS = {
        "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /x?y=1 HTTP/1.1\r\nHost:a\r\nContent-Length: 5\r\n\r\nhello",
        "PUT /x HTTP/1.1\r\nHOST: \t a \t\r\nTransfer-Encoding: Chunked\r\n\r\n5;q=1\r\nhello\r\n"
                + "A\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n",
        "\r\nGET /a HTTP/1.0\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\nX: \u00e4\r\n\r\n",
    };

    private static final String CHUNKED = "PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String OK_WITH_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: ";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The parsed messages must not depend on where the stream is split. */
    @Test
    void parsesTheSameMessagesWhateverTheFragments() {
        for (String text : VALID_REQUESTS) {
            byte[] bytes = bytes(text);
            List<String> unsplit = RecordingSink.parseRequest(text);
            assertTrue(unsplit.get(unsplit.size() - 1).startsWith("end"), unsplit.toString());
            for (int firstSplit = 0; firstSplit <= bytes.length; firstSplit++) {
                assertEquals(
                        unsplit, RecordingSink.parse(HttpParser.Role.REQUEST, HttpLimits.SERVER, bytes, firstSplit));
                for (int secondSplit = firstSplit; secondSplit <= bytes.length; secondSplit += 3) {
                    assertEquals(
                            unsplit,
                            RecordingSink.parse(
                                    HttpParser.Role.REQUEST, HttpLimits.SERVER, bytes, firstSplit, secondSplit));
                }
            }
            int[] everyOffset = new int[bytes.length];
            Arrays.setAll(everyOffset, i -> i);
            assertEquals(unsplit, RecordingSink.parse(HttpParser.Role.REQUEST, HttpLimits.SERVER, bytes, everyOffset));
        }
    }

    @Test
    void parsesChunksTrailersAndPipelinedRequests() {
        assertEquals(
                List.of("PUT /x [host, transfer-encoding]=[a, Chunked]", "end hello0123456789"),
                RecordingSink.parseRequest(VALID_REQUESTS[2]));
        assertEquals(4, RecordingSink.parseRequest(VALID_REQUESTS[3]).size());
    }

    /** Guards against request smuggling: input that two parsers could interpret differently is rejected. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Content-Length: 5~Transfer-Encoding: chunked~~|400",
                "Content-Length: 5~Content-Length: 5~~|400",
                "Content-Length: 5, 5~~|400",
                "Content-Length: +5~~|400",
                "Content-Length: 0x5~~|400",
                "Content-Length: -1~~|400",
                "Content-Length:~~|400",
                "Content-Length: 99999999999999999999~~|400",
                "Transfer-Encoding: gzip, chunked~~|501",
                "Transfer-Encoding: chunked, identity~~|501",
                "Transfer-Encoding: xchunked~~|501",
                "Transfer-Encoding: chunked~Transfer-Encoding: chunked~~|501",
                "X : 1~~|400",
                "X: 1~ folded~~|400",
                "X: a^b~~|400",
                "~X~~|400",
                "X~~|400",
                ": 1~~|400",
                "X: 1`~|400",
                "X: a`b~~|400",
                "Host: b~~|400",
                "X: a%b~~|400",
                "Transfer-Encoding: chunked~~zz~|400",
                "Transfer-Encoding: chunked~~5 ~hello~|400",
                "Transfer-Encoding: chunked~~5~helloo~|400",
                "Transfer-Encoding: chunked~~123456789~|400",
                "Transfer-Encoding: chunked~~5`hello~|400",
                "Content-Length: 100000~~|413",
                "Transfer-Encoding: chunked~~FFFFFF~|0"
            })
    void rejectsAmbiguousMessages(String fields, int status) {
        // In the table, ~ stands for CRLF, ` for a bare LF, ^ for a bare CR and % for NUL.
        String text = "POST / HTTP/1.1\r\nHost: a\r\n"
                + fields.replace("~", "\r\n")
                        .replace("`", "\n")
                        .replace("^", "\r")
                        .replace("%", "\0");
        if (fields.startsWith("~")) {
            text = "GET / HTTP/1.1\r\n" + fields.substring(1).replace("~", "\r\n");
        }
        List<String> calls = RecordingSink.parseRequest(text);
        if (status != 0) {
            assertEquals("fault " + status, calls.get(calls.size() - 1), text);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "GET  / HTTP/1.1,400",
        "GET / HTTP/2.0,505",
        "GET / FTP/1.1,400",
        "GET /,400",
        "G@T / HTTP/1.1,400",
        "GET a HTTP/1.1,400",
        "GET /\tb HTTP/1.1,400",
        "' GET / HTTP/1.1',400",
        "'GET / HTTP/1.1 ',400",
        "ABCDEFGHIJKLMNOPQRSTUVWXYZ / HTTP/1.1,501"
    })
    void rejectsMalformedRequestLines(String line, int status) {
        assertEquals(List.of("fault " + status), RecordingSink.parseRequest(line + "\r\nHost: a\r\n\r\n"));
    }

    @Test
    void http11RequestWithoutHostIsRejected() {
        assertEquals(List.of("fault 400"), RecordingSink.parseRequest("GET / HTTP/1.1\r\n\r\n"));
    }

    @Test
    void messagesAboveTheLimitsAreRejected() {
        HttpLimits limits = new HttpLimits(40, 3, 90, 10);
        assertEquals(
                List.of("fault 414"),
                RecordingSink.parse(HttpParser.Role.REQUEST, limits, bytes("GET /" + "a".repeat(60))));
        assertEquals(
                List.of("fault 431"),
                RecordingSink.parse(HttpParser.Role.REQUEST, limits, bytes("GET / HTTP/1.1\r\nX: " + "a".repeat(60))));
        assertEquals(
                List.of("fault 431"),
                RecordingSink.parse(
                        HttpParser.Role.REQUEST, limits, bytes("GET / HTTP/1.1\r\na:1\r\nb:1\r\nc:1\r\nd:1\r\n\r\n")));
        assertEquals(
                List.of("fault 431"),
                RecordingSink.parse(
                        HttpParser.Role.REQUEST,
                        limits,
                        bytes("GET / HTTP/1.1\r\na:" + "1".repeat(37) + "\r\nb:" + "1".repeat(37) + "\r\n\r\n")));
        List<String> bodyCalls =
                RecordingSink.parse(HttpParser.Role.REQUEST, limits, bytes(CHUNKED + "8\r\n12345678\r\n8\r\n12345678"));
        assertEquals("fault 413", bodyCalls.get(1));
        List<String> trailerCalls = RecordingSink.parse(
                HttpParser.Role.REQUEST, limits, bytes(CHUNKED + "0\r\na:1\r\nb:1\r\nc:1\r\nd:1\r\n"));
        assertEquals("fault 431", trailerCalls.get(1));
    }

    @Test
    void parsesResponsesWithoutBodyAndBodiesUntilClose() throws Exception {
        assertEquals(
                List.of("204 No Content []=[]", "end "),
                RecordingSink.parseResponse("HTTP/1.1 204 No Content\r\n\r\n"));
        assertEquals(
                List.of("200 OK [content-length]=[2]", "end ok"),
                RecordingSink.parseResponse("HTTP/1.1 103 Early\r\nX: 1\r\n\r\n" + OK_WITH_LENGTH + "2\r\n\r\nok"));
        RecordingSink sink = new RecordingSink();
        HttpParser parser = new HttpParser(HttpParser.Role.RESPONSE, HttpLimits.CLIENT, sink);
        parser.feed(Unpooled.wrappedBuffer(bytes("HTTP/1.0 200 OK\r\n\r\nall of it")));
        assertTrue(parser.endOfInput());
        assertEquals("end all of it", sink.calls.get(1));
        HttpParser truncated = new HttpParser(HttpParser.Role.RESPONSE, HttpLimits.CLIENT, new RecordingSink());
        truncated.feed(Unpooled.wrappedBuffer(bytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nal")));
        assertThrows(HttpProtocolException.class, truncated::endOfInput);
    }

    @Test
    void responseToHeadHasNoBody() throws Exception {
        RecordingSink sink = new RecordingSink();
        HttpParser parser = new HttpParser(HttpParser.Role.RESPONSE, HttpLimits.CLIENT, sink);
        parser.expectResponseToHead(true);
        assertTrue(parser.feed(Unpooled.wrappedBuffer(bytes(OK_WITH_LENGTH + "5\r\n\r\n"))));
        assertEquals("end ", sink.calls.get(1));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 20 OK\r\n",
                "HTTP/1.1 999 X\r\n",
                "HTTP/1.1 2000 X\r\n",
                "nonsense\r\n",
                "HTTP/1.1 101 Upgrade\r\n\r\n",
                "\r\n"
            })
    void rejectsMalformedStatusLines(String text) {
        assertTrue(RecordingSink.parseResponse(text).get(0).startsWith("fault"), text);
    }

    /** Arbitrary bytes are parsed, rejected or incomplete, independently of the fragments; nothing else is thrown. */
    @Property(tries = 4000, seed = "20261201")
    void arbitraryBytesAreParsedOrRejected(
            @ForAll("messageFragments") String text, @ForAll @Size(max = 6) List<Integer> splits) {
        byte[] bytes = bytes(text);
        int[] offsets = splits.stream()
                .mapToInt(split -> Math.floorMod(split, bytes.length + 1))
                .sorted()
                .toArray();
        for (HttpParser.Role role : HttpParser.Role.values()) {
            assertEquals(
                    RecordingSink.parse(role, HttpLimits.SERVER, bytes),
                    RecordingSink.parse(role, HttpLimits.SERVER, bytes, offsets));
        }
    }

    @Provide
    Arbitrary<String> messageFragments() {
        Arbitrary<String> fragments = Arbitraries.of(
                "GET ",
                "/",
                " HTTP/1.1",
                "\r\n",
                "\r",
                "\n",
                "Host: a",
                ":",
                " ",
                "Content-Length: 3",
                "Transfer-Encoding: chunked",
                "3",
                "abc",
                "0",
                "\t",
                "\0",
                "\u00ff",
                "HTTP/1.1 200 OK",
                "HTTP/1.1 100 X",
                "POST ",
                ";",
                "Connection: close",
                "FFFFFFFF",
                "\r\n\r\n");
        return fragments.list().ofMaxSize(40).map(parts -> String.join("", parts));
    }
}
