package spanrill.wire.http;

/** A message that is not valid HTTP/1.1 or exceeds a limit; the connection cannot be used afterwards. */
public final class HttpProtocolException extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;
    private final boolean tlsHello;

    /** Creates an exception with the status that a server responds with, and a reason in plain text. */
    public HttpProtocolException(int status, String reason) {
        this(status, reason, false);
    }

    private HttpProtocolException(int status, String reason, boolean tlsHello) {
        super(reason, null, false, false);
        this.status = status;
        this.tlsHello = tlsHello;
    }

    /** Creates an exception for a TLS handshake record (RFC 8446 section 5.1) in place of an HTTP request. */
    static HttpProtocolException ofTlsHello() {
        return new HttpProtocolException(400, "a TLS hello on a port that speaks plain HTTP", true);
    }

    /** Returns whether the peer started a TLS handshake, probably because it uses the wrong port. */
    public boolean isTlsHello() {
        return tlsHello;
    }

    /** Returns the status to send to the peer (RFC 9110 section 15). */
    public int status() {
        return status;
    }
}
