package spanrill.wire.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Parses HTTP/1.1 messages (RFC 9112) from bytes that come in any pieces. What two parsers could read in two
 * ways is refused, not repaired: bare CR or LF, folded lines, space before a colon, Content-Length given
 * twice or beside Transfer-Encoding, any coding but one plain {@code chunked} (sections 2.2, 5.1, 5.2, 6.1,
 * 6.3 and 11.2). Memory is bounded by {@link HttpLimits}; a body is handed on as it comes and never kept.
 */
public final class HttpParser {
    /** What is parsed. */
    public enum Role {
        REQUEST,
        RESPONSE
    }

    /** Takes what was parsed. */
    public interface Sink {
        /** A request's head. */
        default void onRequestHead(RequestHead head) throws HttpProtocolException {}

        /** A final response's head; interim ones (1xx) are passed over. */
        default void onResponseHead(ResponseHead head) throws HttpProtocolException {}

        /** Part of a body; the buffer is lent for the call: retain what is kept. */
        void onBody(ByteBuf part) throws HttpProtocolException;

        /** The message is complete. */
        void onEnd() throws HttpProtocolException;
    }

    private enum State {
        START,
        HEADER,
        FIXED,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        UNTIL_CLOSE,
        BROKEN
    }

    private static final int MOST_INTERIM = 8;
    /** RFC 9110 section 9.1 has none above 7; the registry none above 17 (UPDATEREDIRECTREF). */
    private static final int MOST_METHOD = 20;

    private static final byte TLS_HANDSHAKE = 0x16;

    private final Role role;
    private final HttpLimits limits;
    private final Sink sink;
    private final byte[] line;
    private int lineLength;
    private boolean sawCr;
    private boolean inMethod;
    private State state = State.START;
    private int headBytes;
    private int emptyLines;
    private int interim;
    private int trailers;
    private long left;
    private long bodyBytes;
    private boolean answersHead;
    private String first;
    private Headers headers;

    /** A parser of one connection's messages in one direction. */
    public HttpParser(Role role, HttpLimits limits, Sink sink) {
        this.role = role;
        this.limits = limits;
        this.sink = sink;
        line = new byte[limits.lineBytes()];
    }

    /** Tells that the next response answers a HEAD request, so no body follows it (section 6.3). */
    public void expectResponseToHead(boolean head) {
        answersHead = head;
    }

    /** True between messages, when no byte of the next has come. */
    public boolean isIdle() {
        return state == State.START && lineLength == 0 && !sawCr && emptyLines == 0;
    }

    /**
     * Takes bytes up to the end of a message at most; call again for what is left.
     *
     * @return true when a message ended
     * @throws HttpProtocolException for what is refused; the parser takes nothing any more after it
     */
    public boolean feed(ByteBuf in) throws HttpProtocolException {
        try {
            while (in.isReadable()) {
                switch (state) {
                    case FIXED, CHUNK -> {
                        if (data(in)) {
                            return true;
                        }
                    }
                    case UNTIL_CLOSE -> body(in, in.readableBytes());
                    case BROKEN -> throw new HttpProtocolException(400, "bytes after a broken message");
                    default -> {
                        if (readLine(in) && takeLine()) {
                            return true;
                        }
                    }
                }
            }
            return false;
        } catch (HttpProtocolException fault) {
            state = State.BROKEN;
            throw fault;
        }
    }

    /**
     * The peer closed its side.
     *
     * @return true when that ended a message in order (a body without length, section 6.3)
     * @throws HttpProtocolException when it cut a message short
     */
    public boolean endOfInput() throws HttpProtocolException {
        if (state == State.UNTIL_CLOSE) {
            state = State.BROKEN;
            sink.onEnd();
            return true;
        }
        if (state != State.BROKEN && !isIdle()) {
            state = State.BROKEN;
            throw new HttpProtocolException(400, "the connection ended within a message");
        }
        return false;
    }

    private boolean data(ByteBuf in) throws HttpProtocolException {
        int take = (int) Math.min(left, in.readableBytes());
        left -= take;
        body(in, take);
        if (left > 0) {
            return false;
        }
        if (state == State.CHUNK) {
            state = State.CHUNK_END;
            return false;
        }
        return finish();
    }

    private void body(ByteBuf in, int bytes) throws HttpProtocolException {
        bodyBytes += bytes;
        if (bodyBytes > limits.bodyBytes()) {
            throw new HttpProtocolException(413, "body is longer than " + limits.bodyBytes() + " bytes");
        }
        if (bytes > 0) {
            sink.onBody(in.readSlice(bytes));
        }
    }

    /** Reads up to the end of a line; true when it is complete, without its CRLF. */
    private boolean readLine(ByteBuf in) throws HttpProtocolException {
        int from = in.readerIndex();
        int end = in.indexOf(from, in.writerIndex(), (byte) '\n');
        int stop = end < 0 ? in.writerIndex() : end;
        int bytes = stop - from;
        // The CR of a line's end may be the last byte kept, so it doesn't count towards the limit.
        if (lineLength + bytes > line.length) {
            throw new HttpProtocolException(
                    state == State.START && role == Role.REQUEST ? 414 : 431,
                    "a line is longer than " + limits.lineBytes() + " bytes");
        }
        in.readBytes(line, lineLength, bytes);
        boolean begins = state == State.START && role == Role.REQUEST;
        for (int i = lineLength; i < lineLength + bytes; i++) {
            if (sawCr) {
                throw new HttpProtocolException(400, "a bare CR");
            }
            if (begins && i <= MOST_METHOD) {
                inMethod = (i == 0 || inMethod) && line[i] != ' ';
                if (inMethod) {
                    checkMethodByte(i);
                }
            }
            sawCr = line[i] == '\r';
        }
        lineLength += bytes;
        if (end < 0) {
            return false;
        }
        in.skipBytes(1);
        if (!sawCr) {
            throw new HttpProtocolException(400, "a bare LF");
        }
        sawCr = false;
        lineLength--;
        return true;
    }

    /**
     * Refuses bytes that can't begin a request as soon as they come: whoever speaks another protocol here
     * must not wait in silence for a line end that it never sends.
     */
    private void checkMethodByte(int at) throws HttpProtocolException {
        if (at == 0 && line[0] == TLS_HANDSHAKE) {
            throw HttpProtocolException.ofTlsHello();
        }
        if (line[at] != '\r' && !isToken((char) (line[at] & 0xff))) {
            throw new HttpProtocolException(400, "the method is no token");
        }
        if (line[at] != '\r' && at == MOST_METHOD) {
            throw new HttpProtocolException(501, "the method is not known");
        }
    }

    private boolean takeLine() throws HttpProtocolException {
        int length = lineLength;
        lineLength = 0;
        headBytes += length + 2;
        if (headBytes > limits.headBytes() && state != State.CHUNK_SIZE && state != State.CHUNK_END) {
            throw new HttpProtocolException(431, "a head is longer than " + limits.headBytes() + " bytes");
        }
        switch (state) {
            case START -> start(length);
            case HEADER -> {
                if (length == 0) {
                    return headComplete();
                }
                field(length, headers);
            }
            case CHUNK_SIZE -> chunkSize(length);
            case CHUNK_END -> {
                if (length != 0) {
                    throw new HttpProtocolException(400, "a chunk is longer than its size says");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILER -> {
                if (length == 0) {
                    return finish();
                }
                if (++trailers > limits.headers()) {
                    throw new HttpProtocolException(431, "more than " + limits.headers() + " trailer fields");
                }
                field(length, new Headers());
            }
            default -> throw new IllegalStateException("no line is due in " + state);
        }
        return false;
    }

    private void start(int length) throws HttpProtocolException {
        if (length == 0) {
            // Section 2.2: at least one empty line before a request line is passed over.
            if (role == Role.RESPONSE || ++emptyLines > 1) {
                throw new HttpProtocolException(400, "empty lines before a message");
            }
            return;
        }
        for (int i = 0; i < length; i++) {
            if (line[i] < ' ' || line[i] == 127) {
                throw new HttpProtocolException(400, "a byte that is no visible ASCII in the start line");
            }
        }
        first = new String(line, 0, length, StandardCharsets.US_ASCII);
        if (role == Role.REQUEST) {
            checkRequestLine();
        } else {
            checkStatusLine();
        }
        headers = new Headers();
        state = State.HEADER;
    }

    private void checkRequestLine() throws HttpProtocolException {
        int a = first.indexOf(' ');
        int b = first.lastIndexOf(' ');
        if (a <= 0 || b <= a + 1 || first.indexOf(' ', a + 1) != b) {
            throw new HttpProtocolException(400, "the request line is not method, target and version");
        }
        checkVersion(first.substring(b + 1));
        String target = first.substring(a + 1, b);
        if (!target.startsWith("/") && !target.equals("*") && !target.startsWith("http://")) {
            throw new HttpProtocolException(400, "the target is neither a path nor an http URI");
        }
    }

    private void checkStatusLine() throws HttpProtocolException {
        if (first.length() < 12 || first.charAt(8) != ' ' || (first.length() > 12 && first.charAt(12) != ' ')) {
            throw new HttpProtocolException(400, "the status line is not version, status and reason");
        }
        checkVersion(first.substring(0, 8));
        for (int i = 9; i < 12; i++) {
            if (first.charAt(i) < '0' || first.charAt(i) > '9') {
                throw new HttpProtocolException(400, "the status is no number");
            }
        }
        if (first.charAt(9) < '1' || first.charAt(9) > '5') {
            throw new HttpProtocolException(400, "the status is of no known class");
        }
    }

    private static void checkVersion(String version) throws HttpProtocolException {
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            throw new HttpProtocolException(version.startsWith("HTTP/") ? 505 : 400, "the version is not HTTP/1.1");
        }
    }

    private void field(int length, Headers into) throws HttpProtocolException {
        if (line[0] == ' ' || line[0] == '\t') {
            throw new HttpProtocolException(400, "a folded header line");
        }
        int colon = 0;
        while (colon < length && line[colon] != ':') {
            if (!isToken((char) (line[colon] & 0xff))) {
                throw new HttpProtocolException(
                        400,
                        line[colon] == ' ' || line[colon] == '\t'
                                ? "space before the colon of a header"
                                : "a header name that is no token");
            }
            colon++;
        }
        if (colon == 0 || colon == length) {
            throw new HttpProtocolException(400, "a header line without name or colon");
        }
        int from = colon + 1;
        int to = length;
        while (from < to && (line[from] == ' ' || line[from] == '\t')) {
            from++;
        }
        while (to > from && (line[to - 1] == ' ' || line[to - 1] == '\t')) {
            to--;
        }
        for (int i = from; i < to; i++) {
            if ((line[i] >= 0 && line[i] < ' ' && line[i] != '\t') || line[i] == 127) {
                throw new HttpProtocolException(400, "a control byte in a header value");
            }
        }
        if (into.size() >= limits.headers()) {
            throw new HttpProtocolException(431, "more than " + limits.headers() + " header fields");
        }
        into.add(
                new String(line, 0, colon, StandardCharsets.US_ASCII),
                new String(line, from, to - from, StandardCharsets.ISO_8859_1));
    }

    private boolean headComplete() throws HttpProtocolException {
        long length = checkFraming();
        boolean chunked = headers.count("transfer-encoding") > 0;
        bodyBytes = 0;
        trailers = 0;
        if (role == Role.REQUEST) {
            int a = first.indexOf(' ');
            int b = first.lastIndexOf(' ');
            int minor = first.charAt(first.length() - 1) - '0';
            int hosts = headers.count("host");
            if (hosts > 1 || (hosts == 0 && minor == 1)) {
                throw new HttpProtocolException(400, "Host must be given once");
            }
            sink.onRequestHead(new RequestHead(first.substring(0, a), first.substring(a + 1, b), minor, headers));
            if (chunked) {
                state = State.CHUNK_SIZE;
                return false;
            }
            return fixed(Math.max(0, length));
        }
        int status = Integer.parseInt(first.substring(9, 12));
        if (status < 200) {
            if (status == 101 || ++interim > MOST_INTERIM) {
                throw new HttpProtocolException(
                        400, status == 101 ? "an upgrade that was not asked for" : "too many interim answers");
            }
            reset();
            return false;
        }
        sink.onResponseHead(new ResponseHead(
                status, first.length() > 13 ? first.substring(13) : "", first.charAt(7) - '0', headers));
        if (answersHead || status == 204 || status == 304) {
            return finish();
        }
        if (chunked) {
            state = State.CHUNK_SIZE;
            return false;
        }
        if (length < 0) {
            state = State.UNTIL_CLOSE;
            return false;
        }
        return fixed(length);
    }

    private boolean fixed(long length) throws HttpProtocolException {
        if (length > limits.bodyBytes()) {
            throw new HttpProtocolException(413, "body is longer than " + limits.bodyBytes() + " bytes");
        }
        if (length == 0) {
            return finish();
        }
        left = length;
        state = State.FIXED;
        return false;
    }

    /** Refuses every head whose body two parsers could measure in two ways; gives Content-Length or -1. */
    private long checkFraming() throws HttpProtocolException {
        int lengths = headers.count("content-length");
        int codings = headers.count("transfer-encoding");
        if (lengths > 1) {
            throw new HttpProtocolException(400, "Content-Length is given twice");
        }
        if (codings > 0) {
            if (lengths > 0) {
                throw new HttpProtocolException(400, "Content-Length beside Transfer-Encoding");
            }
            if (codings > 1 || !headers.get("transfer-encoding").equalsIgnoreCase("chunked")) {
                throw new HttpProtocolException(501, "a transfer coding other than chunked");
            }
            if (first.contains("HTTP/1.0")) {
                throw new HttpProtocolException(400, "Transfer-Encoding in HTTP/1.0");
            }
            return -1;
        }
        if (lengths == 0) {
            return -1;
        }
        String value = headers.get("content-length");
        if (value.isEmpty() || value.length() > 15 || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new HttpProtocolException(400, "Content-Length is no plain number");
        }
        return Long.parseLong(value);
    }

    private void chunkSize(int length) throws HttpProtocolException {
        long size = 0;
        int digits = 0;
        while (digits < length && Character.digit(line[digits], 16) >= 0) {
            size = size * 16 + Character.digit(line[digits], 16);
            if (++digits > 8) {
                throw new HttpProtocolException(400, "a chunk size of more than 8 digits");
            }
        }
        if (digits == 0 || (digits < length && line[digits] != ';')) {
            throw new HttpProtocolException(400, "a chunk size that is no hexadecimal number");
        }
        for (int i = digits; i < length; i++) {
            if ((line[i] >= 0 && line[i] < ' ' && line[i] != '\t') || line[i] == 127) {
                throw new HttpProtocolException(400, "a control byte in a chunk extension");
            }
        }
        left = size;
        headBytes = 0;
        state = size == 0 ? State.TRAILER : State.CHUNK;
    }

    private boolean finish() throws HttpProtocolException {
        reset();
        sink.onEnd();
        return true;
    }

    private void reset() {
        state = State.START;
        headBytes = 0;
        emptyLines = 0;
        lineLength = 0;
        first = null;
        headers = null;
        if (role == Role.REQUEST) {
            interim = 0;
        }
    }

    private static boolean isToken(char c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
    }
}
