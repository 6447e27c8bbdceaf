package spanrill.front.dash;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import spanrill.decisions.SessionEnd;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/** Answers that are no success, as problem documents (RFC 9457). */
final class ProblemResponse {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ProblemResponse() {}

    /**
     * Answers with a problem.
     *
     * @param answer what became of the request: refused, failed, or none when it was never taken
     * @param retryAfterMs after how long to come again; 0 for no word about it
     */
    static void respond(Exchange exchange, int status, String type, String answer, String detail, double retryAfterMs) {
        write(
                exchange,
                status,
                type,
                Headers.of("cache-control", "no-store", DashRequestRouter.ANSWER, answer),
                detail,
                retryAfterMs);
    }

    /** Answers a player that asks for more of a session that is over; {@code end} is null when not known. */
    static void respondSessionEnded(
            Exchange exchange, int status, String type, String detail, SessionEnd end, double retryAfterMs) {
        Headers headers = Headers.of("cache-control", "no-store", DashRequestRouter.ANSWER, "none");
        if (end != null) {
            headers.add(DashRequestRouter.OVER, end.wireName());
        }
        write(exchange, status, type, headers, detail, retryAfterMs);
    }

    private static void write(
            Exchange exchange, int status, String type, Headers headers, String detail, double retryAfterMs) {
        ObjectNode document = JSON.createObjectNode()
                .put("type", "urn:spanrill:problem:" + type)
                .put("title", type.replace('-', ' '))
                .put("status", status)
                .put("detail", detail);
        if (retryAfterMs > 0) {
            document.put("retryAfterMs", Math.round(retryAfterMs));
            // RFC 9110 section 10.2.3 knows whole seconds only; the document has the milliseconds.
            headers.add("retry-after", Long.toString((long) Math.ceil(retryAfterMs / 1000)));
        }
        exchange.respond(status, headers, "application/problem+json", document.toString());
    }
}
