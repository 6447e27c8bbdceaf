package spanrill.front.token;

/**
 * What a verified token says.
 *
 * @param id its id ({@code jti})
 * @param title title ({@code title})
 * @param className class of session ({@code class})
 * @param tenant tenant ({@code tenant}), or null
 * @param viewer key of the viewer's session ({@code sub})
 * @param top highest rung ({@code top})
 * @param expiresS expiry, seconds since 1970 ({@code exp})
 */
public record SessionToken(
        String id, String title, String className, String tenant, String viewer, int top, long expiresS) {}
