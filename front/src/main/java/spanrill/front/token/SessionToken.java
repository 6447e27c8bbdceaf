package spanrill.front.token;

/**
 * The claims of a verified token.
 *
 * @param id id of the token ({@code jti})
 * @param title title that may be played ({@code title})
 * @param className class of the session ({@code class})
 * @param tenant tenant ({@code tenant}), or null
 * @param viewer key of the viewer's session ({@code sub})
 * @param top highest rung that may be played ({@code top}), the largest int when the claim is missing
 * @param expiresS expiry, seconds since 1970 ({@code exp})
 */
public record SessionToken(
        String id, String title, String className, String tenant, String viewer, int top, long expiresS) {}
