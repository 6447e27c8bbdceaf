package spanrill.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/**
 * Writes heads and chunks. A field value that holds a line break is a fault of the program: it is
 * refused.
 */
public final class HttpWriter {
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private HttpWriter() {}

    /** Writes a request's head. */
    public static void writeRequestHead(ByteBuf out, String method, String target, Headers headers) {
        text(out, method);
        out.writeByte(' ');
        text(out, target);
        text(out, " HTTP/1.1\r\n");
        fields(out, headers);
    }

    /** Writes a response's head. */
    public static void writeResponseHead(ByteBuf out, int status, Headers headers) {
        text(out, "HTTP/1.1 " + status + " " + reasonPhrase(status) + "\r\n");
        fields(out, headers);
    }

    private static void fields(ByteBuf out, Headers headers) {
        for (int i = 0; i < headers.size(); i++) {
            text(out, headers.name(i));
            text(out, ": ");
            text(out, headers.value(i));
            text(out, "\r\n");
        }
        text(out, "\r\n");
    }

    private static void text(ByteBuf out, String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if ((c == '\r' || c == '\n') && !text.endsWith("\r\n") || c == 0) {
                throw new IllegalArgumentException("a line break within a head");
            }
        }
        ByteBufUtil.writeAscii(out, text);
    }

    /** Writes the size line of a chunk (RFC 9112 section 7.1). */
    public static void writeChunkSize(ByteBuf out, int bytes) {
        ByteBufUtil.writeAscii(out, Integer.toHexString(bytes) + "\r\n");
    }

    /** Writes the end of a chunk. */
    public static void writeChunkEnd(ByteBuf out) {
        out.writeByte('\r').writeByte('\n');
    }

    /** Writes the last chunk. */
    public static void writeLastChunk(ByteBuf out) {
        out.writeBytes(LAST_CHUNK);
    }

    /** The reason phrase of a status. */
    public static String reasonPhrase(int status) {
        return switch (status) {
            case 100 -> "Continue";
            case 200 -> "OK";
            case 201 -> "Created";
            case 204 -> "No Content";
            case 206 -> "Partial Content";
            case 304 -> "Not Modified";
            case 400 -> "Bad Request";
            case 401 -> "Unauthorized";
            case 403 -> "Forbidden";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 410 -> "Gone";
            case 413 -> "Content Too Large";
            case 414 -> "URI Too Long";
            case 416 -> "Range Not Satisfiable";
            case 417 -> "Expectation Failed";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 501 -> "Not Implemented";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            case 505 -> "HTTP Version Not Supported";
            default -> "Status";
        };
    }
}
