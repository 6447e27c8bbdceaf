package spanrill.wire.http;

/** Bytes that are no HTTP/1.1 message that this program takes; the connection can't go on. */
public final class HttpProtocolException extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;
    private final boolean tlsHello;

    /** A fault with the status that a server answers it with, and a plain reason. */
    public HttpProtocolException(int status, String reason) {
        this(status, reason, false);
    }

    private HttpProtocolException(int status, String reason, boolean tlsHello) {
        super(reason, null, false, false);
        this.status = status;
        this.tlsHello = tlsHello;
    }

    /** A TLS handshake record (RFC 8446 section 5.1) where an HTTP request was due. */
    static HttpProtocolException ofTlsHello() {
        return new HttpProtocolException(400, "a TLS hello on a port that speaks plain HTTP", true);
    }

    /** True when the peer began with TLS: somebody took this port for another one. */
    public boolean isTlsHello() {
        return tlsHello;
    }

    /** Status for the peer (RFC 9110 section 15). */
    public int status() {
        return status;
    }
}
