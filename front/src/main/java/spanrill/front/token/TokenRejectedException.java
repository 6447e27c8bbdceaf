package spanrill.front.token;

/**
 * Thrown when a token does not permit a request, with the HTTP status: 401 when the token is missing, invalid or
 * expired, 403 when a valid token does not cover the request.
 */
public final class TokenRejectedException extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;

    /** Creates a rejection. The reason is sent to the viewer and must not contain secrets. */
    public TokenRejectedException(int status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** Returns the HTTP status, 401 or 403. */
    public int status() {
        return status;
    }
}
