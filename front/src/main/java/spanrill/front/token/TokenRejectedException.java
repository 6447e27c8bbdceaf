package spanrill.front.token;

/**
 * A token that gives no leave, with the status for it (401: not shown to be true, 403: true but no
 * leave).
 */
public final class TokenRejectedException extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;

    /** A fault with a plain reason that tells nothing secret. */
    public TokenRejectedException(int status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** 401 or 403. */
    public int status() {
        return status;
    }
}
