package spanrill.standin.token;

import com.nimbusds.jose.jwk.JWKSet;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.UUID;
import spanrill.standin.LoopbackServer;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/**
 * An issuer over HTTP: {@code GET /token?title=T&class=C&viewer=V&top=N} answers with a token, {@code GET
 * /keys} with the JWK set that verifies it.
 */
public final class IssuerService {
    private static final int TOP = 63;
    private static final long VALID_S = 300;

    private final Issuer issuer;

    private IssuerService(Issuer issuer) {
        this.issuer = issuer;
    }

    /** Listens on a port that the system picks, and gives it. */
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
            case "/token" -> token(exchange);
            default -> exchange.respond(404, new Headers(), "text/plain", "there is /token and /keys\n");
        }
    }

    private void token(Exchange exchange) {
        String title = exchange.head().queryParameter("title");
        String cls = exchange.head().queryParameter("class");
        String viewer = exchange.head().queryParameter("viewer");
        String top = exchange.head().queryParameter("top");
        if (title == null || cls == null || (top != null && !top.matches("\\d{1,3}"))) {
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
                                cls,
                                null,
                                top == null ? TOP : Integer.parseInt(top),
                                VALID_S)
                        + "\n");
    }
}
