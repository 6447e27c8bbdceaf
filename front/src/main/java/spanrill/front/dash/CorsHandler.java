package spanrill.front.dash;

import java.util.List;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/** Lets players in pages of other origins use this front (Fetch standard, section 3.2, CORS protocol). */
final class CorsHandler {
    private static final String AGE_S = "600";
    private static final String EXPOSED = "spanrill-answer, spanrill-rung, retry-after, content-range, etag";
    private static final String ALLOWED =
            "authorization, range, if-none-match, cmcd-request, cmcd-status, " + "cmcd-object, cmcd-session";

    private final List<String> origins;

    CorsHandler(List<String> origins) {
        this.origins = origins;
    }

    /** Adds what an allowed origin must be told; true when the exchange was a preflight and is answered. */
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
                EXPOSED));
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
                        ALLOWED,
                        "access-control-max-age",
                        AGE_S),
                new byte[0]);
        return true;
    }
}
