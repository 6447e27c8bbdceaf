package spanrill.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Records the calls of a parser as text. */
final class RecordingSink implements HttpParser.Sink {
    final List<String> calls = new ArrayList<>();
    private final StringBuilder body = new StringBuilder();

    /** Parses bytes split at the given offsets; an exception is recorded with its status. */
    static List<String> parse(HttpParser.Role role, HttpLimits limits, byte[] bytes, int... offsets) {
        RecordingSink sink = new RecordingSink();
        HttpParser parser = new HttpParser(role, limits, sink);
        int start = 0;
        try {
            for (int i = 0; i <= offsets.length; i++) {
                int end = i < offsets.length ? Math.max(start, Math.min(offsets[i], bytes.length)) : bytes.length;
                ByteBuf fragment = Unpooled.wrappedBuffer(bytes, start, end - start);
                while (fragment.isReadable()) {
                    int readableBefore = fragment.readableBytes();
                    boolean complete = parser.feed(fragment);
                    if (!complete && fragment.readableBytes() == readableBefore) {
                        throw new IllegalStateException("the parser neither consumed bytes nor completed a message");
                    }
                }
                start = end;
            }
        } catch (HttpProtocolException e) {
            sink.calls.add("fault " + e.status());
        }
        return sink.calls;
    }

    static List<String> parseRequest(String text) {
        return parse(HttpParser.Role.REQUEST, HttpLimits.SERVER, text.getBytes(StandardCharsets.ISO_8859_1));
    }

    static List<String> parseResponse(String text) {
        return parse(HttpParser.Role.RESPONSE, HttpLimits.CLIENT, text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onRequestHead(RequestHead head) {
        calls.add(head.method() + " " + head.target() + " " + head.headers());
    }

    @Override
    public void onResponseHead(ResponseHead head) {
        calls.add(head.status() + " " + head.reasonPhrase() + " " + head.headers());
    }

    @Override
    public void onBody(ByteBuf fragment) {
        body.append(fragment.toString(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onEnd() {
        calls.add("end " + body);
        body.setLength(0);
    }
}
