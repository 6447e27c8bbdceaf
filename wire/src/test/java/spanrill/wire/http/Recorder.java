package spanrill.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Writes down what a parser says. */
final class Recorder implements HttpParser.Sink {
    final List<String> said = new ArrayList<>();
    private final StringBuilder body = new StringBuilder();

    /** Parses bytes in pieces; a fault is written down as its status. */
    static List<String> parse(HttpParser.Role role, HttpLimits limits, byte[] bytes, int... cuts) {
        Recorder recorder = new Recorder();
        HttpParser parser = new HttpParser(role, limits, recorder);
        int from = 0;
        try {
            for (int i = 0; i <= cuts.length; i++) {
                int to = i < cuts.length ? Math.max(from, Math.min(cuts[i], bytes.length)) : bytes.length;
                ByteBuf part = Unpooled.wrappedBuffer(bytes, from, to - from);
                while (part.isReadable()) {
                    int before = part.readableBytes();
                    boolean ended = parser.feed(part);
                    if (!ended && part.readableBytes() == before) {
                        throw new IllegalStateException("no progress");
                    }
                }
                from = to;
            }
        } catch (HttpProtocolException fault) {
            recorder.said.add("fault " + fault.status());
        }
        return recorder.said;
    }

    static List<String> request(String text) {
        return parse(HttpParser.Role.REQUEST, HttpLimits.SERVER, text.getBytes(StandardCharsets.ISO_8859_1));
    }

    static List<String> response(String text) {
        return parse(HttpParser.Role.RESPONSE, HttpLimits.CLIENT, text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onRequestHead(RequestHead head) {
        said.add(head.method() + " " + head.target() + " " + head.headers());
    }

    @Override
    public void onResponseHead(ResponseHead head) {
        said.add(head.status() + " " + head.reason() + " " + head.headers());
    }

    @Override
    public void onBody(ByteBuf part) {
        body.append(part.toString(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onEnd() {
        said.add("end " + body);
        body.setLength(0);
    }
}
