package spanrill.wire.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Parses HTTP/1.1 messages (RFC 9112) from a stream that arrives in fragments of any size. Ambiguous input, which
 * allows request smuggling, is rejected and never repaired: a bare CR or LF, folded lines, space before a colon, a
 * repeated Content-Length or one next to Transfer-Encoding, and any coding but a single {@code chunked} (sections
 * 2.2, 5.1, 5.2, 6.1, 6.3 and 11.2). {@link HttpLimits} bounds the memory; body data is passed on as it arrives and
 * not buffered.
 */
public final class HttpParser {
    /** Kind of message that a parser expects. */
    public enum Role {
        REQUEST,
        RESPONSE
    }

    /** Receives the parsed parts of messages. */
    public interface Sink {
        /** Handles the head of a request. */
        default void onRequestHead(RequestHead head) throws HttpProtocolException {}

        /** Handles the head of a final response; interim responses (1xx) are skipped. */
        default void onResponseHead(ResponseHead head) throws HttpProtocolException {}

        /** Handles part of a body; the buffer is valid during the call only unless it is retained. */
        void onBody(ByteBuf part) throws HttpProtocolException;

        /** Handles the end of a message. */
        void onEnd() throws HttpProtocolException;
    }

    private enum State {
        START,
        HEADER,
        FIXED_BODY,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER,
        UNTIL_CLOSE,
        FAILED
    }

    private static final int MAX_INTERIM_RESPONSES = 8;
    /**
     * Maximum length of a method in bytes. The methods of RFC 9110 section 9.1 have up to 7 characters, those of the
     * IANA registry up to 17 (UPDATEREDIRECTREF).
     */
    private static final int MAX_METHOD_BYTES = 20;

    private static final byte TLS_HANDSHAKE = 0x16;

    private final Role role;
    private final HttpLimits limits;
    private final Sink sink;
    private final byte[] line;
    private int lineLength;
    private boolean afterCr;
    private boolean inMethod;
    private State state = State.START;
    private int headBytes;
    private int emptyLines;
    private int interimResponses;
    private int trailerFields;
    private long remaining;
    private long bodyBytes;
    private boolean responseToHead;
    private String startLine;
    private Headers headers;

    /** Creates a parser for the messages of one connection in one direction. */
    public HttpParser(Role role, HttpLimits limits, Sink sink) {
        this.role = role;
        this.limits = limits;
        this.sink = sink;
        line = new byte[limits.maxLineBytes()];
    }

    /** Sets whether the next response answers a HEAD request, in which case it has no body (section 6.3). */
    public void expectResponseToHead(boolean expected) {
        responseToHead = expected;
    }

    /** Returns whether the parser is between messages and no byte of the next one has arrived. */
    public boolean isIdle() {
        return state == State.START && lineLength == 0 && !afterCr && emptyLines == 0;
    }

    /**
     * Parses bytes up to the end of one message; the caller calls again for the remaining bytes.
     *
     * @return true when a message is complete
     * @throws HttpProtocolException when the input is rejected; the parser accepts no input afterwards
     */
    public boolean feed(ByteBuf in) throws HttpProtocolException {
        try {
            while (in.isReadable()) {
                switch (state) {
                    case FIXED_BODY, CHUNK_DATA -> {
                        if (readBody(in)) {
                            return true;
                        }
                    }
                    case UNTIL_CLOSE -> passBody(in, in.readableBytes());
                    case FAILED -> throw new HttpProtocolException(400, "bytes after a broken message");
                    default -> {
                        if (readLine(in) && processLine()) {
                            return true;
                        }
                    }
                }
            }
            return false;
        } catch (HttpProtocolException e) {
            state = State.FAILED;
            throw e;
        }
    }

    /**
     * Handles the end of the stream.
     *
     * @return true when this completes a message whose body has no declared length (section 6.3)
     * @throws HttpProtocolException when a message is truncated
     */
    public boolean endOfInput() throws HttpProtocolException {
        if (state == State.UNTIL_CLOSE) {
            state = State.FAILED;
            sink.onEnd();
            return true;
        }
        if (state != State.FAILED && !isIdle()) {
            state = State.FAILED;
            throw new HttpProtocolException(400, "the connection ended within a message");
        }
        return false;
    }

    private boolean readBody(ByteBuf in) throws HttpProtocolException {
        int count = (int) Math.min(remaining, in.readableBytes());
        remaining -= count;
        passBody(in, count);
        if (remaining > 0) {
            return false;
        }
        if (state == State.CHUNK_DATA) {
            state = State.CHUNK_END;
            return false;
        }
        return endMessage();
    }

    private void passBody(ByteBuf in, int bytes) throws HttpProtocolException {
        bodyBytes += bytes;
        if (bodyBytes > limits.maxBodyBytes()) {
            throw new HttpProtocolException(413, "body is longer than " + limits.maxBodyBytes() + " bytes");
        }
        if (bytes > 0) {
            sink.onBody(in.readSlice(bytes));
        }
    }

    /** Buffers bytes up to the end of a line; returns true when the line is complete, with its CRLF removed. */
    private boolean readLine(ByteBuf in) throws HttpProtocolException {
        int from = in.readerIndex();
        int end = in.indexOf(from, in.writerIndex(), (byte) '\n');
        int stop = end < 0 ? in.writerIndex() : end;
        int bytes = stop - from;
        // The limit includes the CR that ends the line, but not the LF.
        if (lineLength + bytes > line.length) {
            throw new HttpProtocolException(
                    state == State.START && role == Role.REQUEST ? 414 : 431,
                    "a line is longer than " + limits.maxLineBytes() + " bytes");
        }
        in.readBytes(line, lineLength, bytes);
        boolean inStartLine = state == State.START && role == Role.REQUEST;
        for (int i = lineLength; i < lineLength + bytes; i++) {
            if (afterCr) {
                throw new HttpProtocolException(400, "a bare CR");
            }
            if (inStartLine && i <= MAX_METHOD_BYTES) {
                inMethod = (i == 0 || inMethod) && line[i] != ' ';
                if (inMethod) {
                    checkMethodByte(i);
                }
            }
            afterCr = line[i] == '\r';
        }
        lineLength += bytes;
        if (end < 0) {
            return false;
        }
        in.skipBytes(1);
        if (!afterCr) {
            throw new HttpProtocolException(400, "a bare LF");
        }
        afterCr = false;
        lineLength--;
        return true;
    }

    /**
     * Rejects bytes that cannot begin a request as soon as they arrive. A peer that uses another protocol would
     * otherwise wait for a response until its timeout, because it never sends the end of a line.
     */
    private void checkMethodByte(int index) throws HttpProtocolException {
        if (index == 0 && line[0] == TLS_HANDSHAKE) {
            throw HttpProtocolException.ofTlsHello();
        }
        if (line[index] != '\r' && !isToken((char) (line[index] & 0xff))) {
            throw new HttpProtocolException(400, "the method is no token");
        }
        if (line[index] != '\r' && index == MAX_METHOD_BYTES) {
            throw new HttpProtocolException(501, "the method is not known");
        }
    }

    private boolean processLine() throws HttpProtocolException {
        int length = lineLength;
        lineLength = 0;
        headBytes += length + 2;
        if (headBytes > limits.maxHeadBytes() && state != State.CHUNK_SIZE && state != State.CHUNK_END) {
            throw new HttpProtocolException(431, "a head is longer than " + limits.maxHeadBytes() + " bytes");
        }
        switch (state) {
            case START -> processStartLine(length);
            case HEADER -> {
                if (length == 0) {
                    return processHead();
                }
                processField(length, headers);
            }
            case CHUNK_SIZE -> processChunkSize(length);
            case CHUNK_END -> {
                if (length != 0) {
                    throw new HttpProtocolException(400, "a chunk is longer than its size says");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILER -> {
                if (length == 0) {
                    return endMessage();
                }
                if (++trailerFields > limits.maxHeaders()) {
                    throw new HttpProtocolException(431, "more than " + limits.maxHeaders() + " trailer fields");
                }
                processField(length, new Headers());
            }
            default -> throw new IllegalStateException("no line is due in " + state);
        }
        return false;
    }

    private void processStartLine(int length) throws HttpProtocolException {
        if (length == 0) {
            // Section 2.2 asks servers to ignore at least one empty line before a request line; more are rejected.
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
        startLine = new String(line, 0, length, StandardCharsets.US_ASCII);
        if (role == Role.REQUEST) {
            checkRequestLine();
        } else {
            checkStatusLine();
        }
        headers = new Headers();
        state = State.HEADER;
    }

    private void checkRequestLine() throws HttpProtocolException {
        int firstSpace = startLine.indexOf(' ');
        int lastSpace = startLine.lastIndexOf(' ');
        if (firstSpace <= 0 || lastSpace <= firstSpace + 1 || startLine.indexOf(' ', firstSpace + 1) != lastSpace) {
            throw new HttpProtocolException(400, "the request line is not method, target and version");
        }
        checkVersion(startLine.substring(lastSpace + 1));
        String target = startLine.substring(firstSpace + 1, lastSpace);
        if (!target.startsWith("/") && !target.equals("*") && !target.startsWith("http://")) {
            throw new HttpProtocolException(400, "the target is neither a path nor an http URI");
        }
    }

    private void checkStatusLine() throws HttpProtocolException {
        if (startLine.length() < 12
                || startLine.charAt(8) != ' '
                || (startLine.length() > 12 && startLine.charAt(12) != ' ')) {
            throw new HttpProtocolException(400, "the status line is not version, status and reason");
        }
        checkVersion(startLine.substring(0, 8));
        for (int i = 9; i < 12; i++) {
            if (startLine.charAt(i) < '0' || startLine.charAt(i) > '9') {
                throw new HttpProtocolException(400, "the status is no number");
            }
        }
        if (startLine.charAt(9) < '1' || startLine.charAt(9) > '5') {
            throw new HttpProtocolException(400, "the status is of no known class");
        }
    }

    private static void checkVersion(String version) throws HttpProtocolException {
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            throw new HttpProtocolException(version.startsWith("HTTP/") ? 505 : 400, "the version is not HTTP/1.1");
        }
    }

    private void processField(int length, Headers target) throws HttpProtocolException {
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
        if (target.size() >= limits.maxHeaders()) {
            throw new HttpProtocolException(431, "more than " + limits.maxHeaders() + " header fields");
        }
        target.add(
                new String(line, 0, colon, StandardCharsets.US_ASCII),
                new String(line, from, to - from, StandardCharsets.ISO_8859_1));
    }

    private boolean processHead() throws HttpProtocolException {
        long length = checkFraming();
        boolean chunked = headers.count("transfer-encoding") > 0;
        bodyBytes = 0;
        trailerFields = 0;
        if (role == Role.REQUEST) {
            int firstSpace = startLine.indexOf(' ');
            int lastSpace = startLine.lastIndexOf(' ');
            int minor = startLine.charAt(startLine.length() - 1) - '0';
            int hostFields = headers.count("host");
            if (hostFields > 1 || (hostFields == 0 && minor == 1)) {
                throw new HttpProtocolException(400, "Host must be given once");
            }
            sink.onRequestHead(new RequestHead(
                    startLine.substring(0, firstSpace),
                    startLine.substring(firstSpace + 1, lastSpace),
                    minor,
                    headers));
            if (chunked) {
                state = State.CHUNK_SIZE;
                return false;
            }
            return startFixedBody(Math.max(0, length));
        }
        int status = Integer.parseInt(startLine.substring(9, 12));
        if (status < 200) {
            if (status == 101 || ++interimResponses > MAX_INTERIM_RESPONSES) {
                throw new HttpProtocolException(
                        400, status == 101 ? "an upgrade that was not asked for" : "too many interim answers");
            }
            reset();
            return false;
        }
        sink.onResponseHead(new ResponseHead(
                status, startLine.length() > 13 ? startLine.substring(13) : "", startLine.charAt(7) - '0', headers));
        if (responseToHead || status == 204 || status == 304) {
            return endMessage();
        }
        if (chunked) {
            state = State.CHUNK_SIZE;
            return false;
        }
        if (length < 0) {
            state = State.UNTIL_CLOSE;
            return false;
        }
        return startFixedBody(length);
    }

    private boolean startFixedBody(long length) throws HttpProtocolException {
        if (length > limits.maxBodyBytes()) {
            throw new HttpProtocolException(413, "body is longer than " + limits.maxBodyBytes() + " bytes");
        }
        if (length == 0) {
            return endMessage();
        }
        remaining = length;
        state = State.FIXED_BODY;
        return false;
    }

    /** Rejects a head whose body length is ambiguous; returns the Content-Length, or -1 when it is absent. */
    private long checkFraming() throws HttpProtocolException {
        int contentLengths = headers.count("content-length");
        int transferEncodings = headers.count("transfer-encoding");
        if (contentLengths > 1) {
            throw new HttpProtocolException(400, "Content-Length is given twice");
        }
        if (transferEncodings > 0) {
            if (contentLengths > 0) {
                throw new HttpProtocolException(400, "Content-Length beside Transfer-Encoding");
            }
            if (transferEncodings > 1 || !headers.get("transfer-encoding").equalsIgnoreCase("chunked")) {
                throw new HttpProtocolException(501, "a transfer coding other than chunked");
            }
            if (startLine.contains("HTTP/1.0")) {
                throw new HttpProtocolException(400, "Transfer-Encoding in HTTP/1.0");
            }
            return -1;
        }
        if (contentLengths == 0) {
            return -1;
        }
        String value = headers.get("content-length");
        if (value.isEmpty() || value.length() > 15 || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new HttpProtocolException(400, "Content-Length is no plain number");
        }
        return Long.parseLong(value);
    }

    private void processChunkSize(int length) throws HttpProtocolException {
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
        remaining = size;
        headBytes = 0;
        state = size == 0 ? State.TRAILER : State.CHUNK_DATA;
    }

    private boolean endMessage() throws HttpProtocolException {
        reset();
        sink.onEnd();
        return true;
    }

    private void reset() {
        state = State.START;
        headBytes = 0;
        emptyLines = 0;
        lineLength = 0;
        startLine = null;
        headers = null;
        if (role == Role.REQUEST) {
            interimResponses = 0;
        }
    }

    private static boolean isToken(char c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
    }
}
