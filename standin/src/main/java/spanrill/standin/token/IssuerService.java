package spanrill.standin.token;

import com.nimbusds.jose.jwk.JWKSet;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.UUID;
import spanrill.standin.LoopbackServer;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/**
 * A token issuer over HTTP: {@code GET /token?title=T&class=C&viewer=V&top=N} returns a token, and {@code GET
 * /keys} returns the JWK set that verifies it.
 */
public final class IssuerService {
    private static final int DEFAULT_TOP_RUNG = 63;
    private static final long TOKEN_VALIDITY_S = 300;

    private final Issuer issuer;

    private IssuerService(Issuer issuer) {
        this.issuer = issuer;
    }

    /** Listens on a port that the system picks, and returns the port. */
    public static int listen(EventLoop loop, Issuer issuer) throws IOException {
        return LoopbackServer.port(LoopbackServer.listen(loop, 0, channel -> {}, new IssuerService(issuer)::route));
    }

    private void route(Exchange exchange) {
        switch (exchange.head().path()) {
            case "/keys" ->
                exchange.respond(
                        200,
                        new Headers(),
                        "application/jwk-set+json",
                        new JWKSet(issuer.verificationKey()).toString(false));
            case "/token" -> issueToken(exchange);
            default -> exchange.respond(404, new Headers(), "text/plain", "there is /token and /keys\n");
        }
    }

    private void issueToken(Exchange exchange) {
        String title = exchange.head().queryParameter("title");
        String serviceClass = exchange.head().queryParameter("class");
        String viewer = exchange.head().queryParameter("viewer");
        String topRung = exchange.head().queryParameter("top");
        if (title == null || serviceClass == null || (topRung != null && !topRung.matches("\\d{1,3}"))) {
            exchange.respond(400, new Headers(), "text/plain", "title and class must be given, top a number\n");
            return;
        }
        exchange.respond(
                200,
                new Headers(),
                "text/plain",
                issuer.issue(
                                UUID.randomUUID().toString(),
                                viewer == null ? "viewer" : viewer,
                                title,
                                serviceClass,
                                null,
                                topRung == null ? DEFAULT_TOP_RUNG : Integer.parseInt(topRung),
                                TOKEN_VALIDITY_S)
                        + "\n");
    }
}
