package spanrill.front.dash;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import spanrill.decisions.SessionEnd;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/** Error responses in the form of problem documents (RFC 9457). */
final class ProblemResponse {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ProblemResponse() {}

    /**
     * Responds with a problem document.
     *
     * @param type last part of the problem type's URN
     * @param answer outcome of the session request: refused, failed, or none when there was no such outcome
     * @param retryAfterMs delay before the client retries, ms; 0: none is sent
     */
    static void respond(Exchange exchange, int status, String type, String answer, String detail, double retryAfterMs) {
        write(
                exchange,
                status,
                type,
                Headers.of("cache-control", "no-store", DashRequestRouter.ANSWER_HEADER, answer),
                detail,
                retryAfterMs);
    }

    /** Responds to a request for a session that has ended; {@code end} is the reason, null when unknown. */
    static void respondSessionEnded(
            Exchange exchange, int status, String type, String detail, SessionEnd end, double retryAfterMs) {
        Headers headers = Headers.of("cache-control", "no-store", DashRequestRouter.ANSWER_HEADER, "none");
        if (end != null) {
            headers.add(DashRequestRouter.END_REASON_HEADER, end.wireName());
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
            // Retry-After has whole seconds only (RFC 9110 section 10.2.3); the document has the milliseconds.
            headers.add("retry-after", Long.toString((long) Math.ceil(retryAfterMs / 1000)));
        }
        exchange.respond(status, headers, "application/problem+json", document.toString());
    }
}
