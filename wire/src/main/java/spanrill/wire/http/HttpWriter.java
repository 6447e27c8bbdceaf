package spanrill.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/**
 * Encodes heads and chunks. A line break or NUL inside a field is a programming error and is rejected, because it would
 * allow response splitting.
 */
public final class HttpWriter {
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private HttpWriter() {}

    /** Writes the head of a request. */
    public static void writeRequestHead(ByteBuf out, String method, String target, Headers headers) {
        writeText(out, method);
        out.writeByte(' ');
        writeText(out, target);
        writeText(out, " HTTP/1.1\r\n");
        writeFields(out, headers);
    }

    /** Writes the head of a response. */
    public static void writeResponseHead(ByteBuf out, int status, Headers headers) {
        writeText(out, "HTTP/1.1 " + status + " " + reasonPhrase(status) + "\r\n");
        writeFields(out, headers);
    }

    private static void writeFields(ByteBuf out, Headers headers) {
        for (int i = 0; i < headers.size(); i++) {
            writeText(out, headers.name(i));
            writeText(out, ": ");
            writeText(out, headers.value(i));
            writeText(out, "\r\n");
        }
        writeText(out, "\r\n");
    }

    private static void writeText(ByteBuf out, String text) {
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if ((character == '\r' || character == '\n') && !text.endsWith("\r\n") || character == 0) {
                throw new IllegalArgumentException("line break or NUL inside a header");
            }
        }
        ByteBufUtil.writeAscii(out, text);
    }

    /** Writes the size line of a chunk (RFC 9112 section 7.1). */
    public static void writeChunkSize(ByteBuf out, int bytes) {
        ByteBufUtil.writeAscii(out, Integer.toHexString(bytes) + "\r\n");
    }

    /** Writes the line break after the data of a chunk. */
    public static void writeChunkEnd(ByteBuf out) {
        out.writeByte('\r').writeByte('\n');
    }

    /** Writes the last chunk and an empty trailer section. */
    public static void writeLastChunk(ByteBuf out) {
        out.writeBytes(LAST_CHUNK);
    }

    /** Returns the reason phrase of a status code. */
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
