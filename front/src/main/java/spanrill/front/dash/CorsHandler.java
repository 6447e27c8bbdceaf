package spanrill.front.dash;

import java.util.List;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/** Allows players in pages of other origins to use this front (Fetch standard, section 3.2, CORS protocol). */
final class CorsHandler {
    private static final String MAX_AGE_S = "600";
    private static final String EXPOSED_HEADERS = "spanrill-answer, spanrill-rung, retry-after, content-range, etag";
    private static final String ALLOWED_HEADERS =
            "authorization, range, if-none-match, cmcd-request, cmcd-status, " + "cmcd-object, cmcd-session";

    private final List<String> origins;

    CorsHandler(List<String> origins) {
        this.origins = origins;
    }

    /** Adds the CORS fields for an allowed origin. Returns true when the request was a preflight, now answered. */
    boolean handle(Exchange exchange) {
        String origin = exchange.head().headers().get("origin");
        if (origin == null || !(origins.contains("*") || origins.contains(origin))) {
            return false;
        }
        exchange.setExtraHeaders(Headers.of(
                "access-control-allow-origin",
                origins.contains("*") ? "*" : origin,
                "vary",
                "origin",
                "access-control-expose-headers",
                EXPOSED_HEADERS));
        if (!exchange.head().method().equals("OPTIONS")
                || exchange.head().headers().get("access-control-request-method") == null) {
            return false;
        }
        exchange.respond(
                204,
                Headers.of(
                        "access-control-allow-methods",
                        "GET, HEAD, DELETE",
                        "access-control-allow-headers",
                        ALLOWED_HEADERS,
                        "access-control-max-age",
                        MAX_AGE_S),
                new byte[0]);
        return true;
    }
}
