package spanrill.session;

/**
 * A viewer's request for a session, as the viewer protocol (such as DASH) read it from a verified token.
 *
 * @param tokenId id of the token, which identifies the request
 * @param arrivedAt time at which the request was read, ms of the front's clock; the viewer's patience starts then
 * @param expiresAt time at which the token expires, ms of the front's clock
 * @param title name of the title
 * @param className name of the class of session
 * @param tenant name of the tenant, or null
 * @param viewer identifier of the viewer's session, the same for each of its requests
 * @param top highest rung that the viewer can use
 */
public record ViewerRequest(
        String tokenId,
        double arrivedAt,
        double expiresAt,
        String title,
        String className,
        String tenant,
        String viewer,
        int top) {}
