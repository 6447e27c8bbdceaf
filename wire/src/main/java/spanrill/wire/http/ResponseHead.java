package spanrill.wire.http;

/**
 * Head of a response.
 *
 * @param status status code
 * @param reason reason phrase, may be empty
 * @param minor minor version, 0 or 1
 * @param headers its fields
 */
public record ResponseHead(int status, String reason, int minor, Headers headers) {
    /** True when the connection goes on after this answer. */
    public boolean keepAlive() {
        return minor == 1
                ? !headers.containsToken("connection", "close")
                : headers.containsToken("connection", "keep-alive");
    }

    /** Its Content-Length, or -1. */
    public long contentLength() {
        String value = headers.get("content-length");
        return value == null ? -1 : Long.parseLong(value);
    }
}
