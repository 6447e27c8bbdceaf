package spanrill.wire.http;

/**
 * Head of a response.
 *
 * @param status status code
 * @param reasonPhrase reason phrase, possibly empty
 * @param minorVersion minor version of HTTP, 0 or 1
 * @param headers header fields
 */
public record ResponseHead(int status, String reasonPhrase, int minorVersion, Headers headers) {
    /** Returns whether the connection persists after this response (RFC 9112 section 9.3). */
    public boolean keepAlive() {
        return minorVersion == 1
                ? !headers.containsToken("connection", "close")
                : headers.containsToken("connection", "keep-alive");
    }

    /** Returns the Content-Length in bytes, or -1. */
    public long contentLength() {
        String value = headers.get("content-length");
        return value == null ? -1 : Long.parseLong(value);
    }
}
