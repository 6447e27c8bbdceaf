package spanrill.session;

/**
 * A viewer's wish for a session, as a viewer side read it from a verified token.
 *
 * @param tokenId id of the token: the key of the request
 * @param arrivedAt when the request was read, ms of the front's clock: the viewer's patience runs from then
 * @param expiresAt when the token expires, ms of the front's clock
 * @param title title
 * @param className class of session
 * @param tenant tenant, or null
 * @param viewer key of the viewer's session, the same when it comes again
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
