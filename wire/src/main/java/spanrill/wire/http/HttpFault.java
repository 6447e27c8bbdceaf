package spanrill.wire.http;

/** Bytes that are no HTTP/1.1 message that this program takes; the connection can't go on. */
public final class HttpFault extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;

    /** A fault with the status that a server answers it with, and a plain reason. */
    public HttpFault(int status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** Status for the peer (RFC 9110 section 15). */
    public int status() {
        return status;
    }
}
