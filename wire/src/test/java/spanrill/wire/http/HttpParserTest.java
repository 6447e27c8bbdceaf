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
    private static final String[] GOOD = {
        "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /x?y=1 HTTP/1.1\r\nHost:a\r\nContent-Length: 5\r\n\r\nhello",
        "PUT /x HTTP/1.1\r\nHOST: \t a \t\r\nTransfer-Encoding: Chunked\r\n\r\n5;q=1\r\nhello\r\n"
                + "A\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n",
        "\r\nGET /a HTTP/1.0\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\nX: \u00e4\r\n\r\n",
    };

    private static final String CHUNKED = "PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: ";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Cut anywhere, the messages are the same. */
    @Test
    void splitsAtEveryByteBoundaryChangeNothing() {
        for (String text : GOOD) {
            byte[] all = bytes(text);
            List<String> whole = Recorder.request(text);
            assertTrue(whole.get(whole.size() - 1).startsWith("end"), whole.toString());
            for (int a = 0; a <= all.length; a++) {
                assertEquals(whole, Recorder.parse(HttpParser.Role.REQUEST, HttpLimits.SERVER, all, a));
                for (int b = a; b <= all.length; b += 3) {
                    assertEquals(whole, Recorder.parse(HttpParser.Role.REQUEST, HttpLimits.SERVER, all, a, b));
                }
            }
            int[] each = new int[all.length];
            Arrays.setAll(each, i -> i);
            assertEquals(whole, Recorder.parse(HttpParser.Role.REQUEST, HttpLimits.SERVER, all, each));
        }
    }

    @Test
    void readsChunksTrailersAndPipelines() {
        assertEquals(
                List.of("PUT /x [host, transfer-encoding]=[a, Chunked]", "end hello0123456789"),
                Recorder.request(GOOD[2]));
        assertEquals(4, Recorder.request(GOOD[3]).size());
    }

    /** What two parsers could read in two ways is refused. */
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
    void refusesSmugglingShapes(String rest, int status) {
        // In the table ~ is CRLF, ` a bare LF, ^ a bare CR, % a NUL.
        String text = "POST / HTTP/1.1\r\nHost: a\r\n"
                + rest.replace("~", "\r\n")
                        .replace("`", "\n")
                        .replace("^", "\r")
                        .replace("%", "\0");
        if (rest.startsWith("~")) {
            text = "GET / HTTP/1.1\r\n" + rest.substring(1).replace("~", "\r\n");
        }
        List<String> said = Recorder.request(text);
        if (status != 0) {
            assertEquals("fault " + status, said.get(said.size() - 1), text);
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
    void refusesBadRequestLines(String line, int status) {
        assertEquals(List.of("fault " + status), Recorder.request(line + "\r\nHost: a\r\n\r\n"));
    }

    @Test
    void hostMustBeGivenOnceInHttp11() {
        assertEquals(List.of("fault 400"), Recorder.request("GET / HTTP/1.1\r\n\r\n"));
    }

    @Test
    void boundsLinesFieldsAndHeads() {
        HttpLimits small = new HttpLimits(40, 3, 90, 10);
        assertEquals(
                List.of("fault 414"), Recorder.parse(HttpParser.Role.REQUEST, small, bytes("GET /" + "a".repeat(60))));
        assertEquals(
                List.of("fault 431"),
                Recorder.parse(HttpParser.Role.REQUEST, small, bytes("GET / HTTP/1.1\r\nX: " + "a".repeat(60))));
        assertEquals(
                List.of("fault 431"),
                Recorder.parse(
                        HttpParser.Role.REQUEST, small, bytes("GET / HTTP/1.1\r\na:1\r\nb:1\r\nc:1\r\nd:1\r\n\r\n")));
        assertEquals(
                List.of("fault 431"),
                Recorder.parse(
                        HttpParser.Role.REQUEST,
                        small,
                        bytes("GET / HTTP/1.1\r\na:" + "1".repeat(37) + "\r\nb:" + "1".repeat(37) + "\r\n\r\n")));
        List<String> body =
                Recorder.parse(HttpParser.Role.REQUEST, small, bytes(CHUNKED + "8\r\n12345678\r\n8\r\n12345678"));
        assertEquals("fault 413", body.get(1));
        List<String> trailers =
                Recorder.parse(HttpParser.Role.REQUEST, small, bytes(CHUNKED + "0\r\na:1\r\nb:1\r\nc:1\r\nd:1\r\n"));
        assertEquals("fault 431", trailers.get(1));
    }

    @Test
    void responsesWithoutBodyAndUntilClose() throws Exception {
        assertEquals(List.of("204 No Content []=[]", "end "), Recorder.response("HTTP/1.1 204 No Content\r\n\r\n"));
        assertEquals(
                List.of("200 OK [content-length]=[2]", "end ok"),
                Recorder.response("HTTP/1.1 103 Early\r\nX: 1\r\n\r\n" + OK + "2\r\n\r\nok"));
        Recorder recorder = new Recorder();
        HttpParser parser = new HttpParser(HttpParser.Role.RESPONSE, HttpLimits.CLIENT, recorder);
        parser.feed(Unpooled.wrappedBuffer(bytes("HTTP/1.0 200 OK\r\n\r\nall of it")));
        assertTrue(parser.endOfInput());
        assertEquals("end all of it", recorder.said.get(1));
        HttpParser cut = new HttpParser(HttpParser.Role.RESPONSE, HttpLimits.CLIENT, new Recorder());
        cut.feed(Unpooled.wrappedBuffer(bytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nal")));
        assertThrows(HttpProtocolException.class, cut::endOfInput);
    }

    @Test
    void anAnswerToHeadHasNoBody() throws Exception {
        Recorder recorder = new Recorder();
        HttpParser parser = new HttpParser(HttpParser.Role.RESPONSE, HttpLimits.CLIENT, recorder);
        parser.expectResponseToHead(true);
        assertTrue(parser.feed(Unpooled.wrappedBuffer(bytes(OK + "5\r\n\r\n"))));
        assertEquals("end ", recorder.said.get(1));
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
    void refusesBadStatusLines(String text) {
        assertTrue(Recorder.response(text).get(0).startsWith("fault"), text);
    }

    /** Bytes of any kind, cut anywhere: a message, a fault, or more is awaited; never anything else. */
    @Property(tries = 4000, seed = "20261201")
    void anyBytesAreTakenOrRefused(@ForAll("messy") String text, @ForAll @Size(max = 6) List<Integer> cuts) {
        byte[] all = bytes(text);
        int[] at = cuts.stream()
                .mapToInt(c -> Math.floorMod(c, all.length + 1))
                .sorted()
                .toArray();
        for (HttpParser.Role role : HttpParser.Role.values()) {
            assertEquals(
                    Recorder.parse(role, HttpLimits.SERVER, all), Recorder.parse(role, HttpLimits.SERVER, all, at));
        }
    }

    @Provide
    Arbitrary<String> messy() {
        Arbitrary<String> pieces = Arbitraries.of(
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
        return pieces.list().ofMaxSize(40).map(list -> String.join("", list));
    }
}
