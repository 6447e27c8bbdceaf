package spanrill.bench;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import spanrill.wire.http.HttpLimits;
import spanrill.wire.http.HttpParser;
import spanrill.wire.http.HttpProtocolException;

/** Requests as players send them, and a chunked answer; operations are messages. */
@State(Scope.Thread)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class HttpParserBench {
    private static final String REQUEST = "GET /s/AAAAAAAAAAAAAAAAAAAAAA/v/3/117.m4s HTTP/1.1\r\n"
            + "Host: front.example:8080\r\nUser-Agent: Player/7.2 (set-top)\r\nAccept: */*\r\n"
            + "Accept-Encoding: identity\r\nConnection: keep-alive\r\n"
            + "Referer: http://front.example/app\r\n\r\n";
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\nContent-Type: video/mp4\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + ("2000\r\n" + "x".repeat(0x2000) + "\r\n").repeat(8) + "0\r\n\r\n";

    private final ByteBuf request = Unpooled.copiedBuffer(REQUEST, StandardCharsets.US_ASCII);
    private final ByteBuf chunked = Unpooled.copiedBuffer(CHUNKED, StandardCharsets.US_ASCII);
    private long seen;
    private final HttpParser.Sink sink = new HttpParser.Sink() {
        @Override
        public void onBody(ByteBuf part) {
            seen += part.readableBytes();
        }

        @Override
        public void onEnd() {
            seen++;
        }
    };
    private final HttpParser requests = new HttpParser(HttpParser.Role.REQUEST, HttpLimits.SERVER, sink);
    private final HttpParser answers = new HttpParser(HttpParser.Role.RESPONSE, HttpLimits.CLIENT, sink);

    /** A player's request of 237 bytes. */
    @Benchmark
    public long request() throws HttpProtocolException {
        request.readerIndex(0);
        requests.feed(request);
        return seen;
    }

    /** A chunked answer of 64 KiB. */
    @Benchmark
    public long chunkedAnswer() throws HttpProtocolException {
        chunked.readerIndex(0);
        answers.feed(chunked);
        return seen;
    }
}
