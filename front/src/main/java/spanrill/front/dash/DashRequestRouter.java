package spanrill.front.dash;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import spanrill.decisions.SessionEnd;
import spanrill.front.EventLog;
import spanrill.front.FrontSettings;
import spanrill.front.box.SegmentSource;
import spanrill.front.token.SessionToken;
import spanrill.front.token.TokenKeys;
import spanrill.front.token.TokenVerifier;
import spanrill.loop.Clock;
import spanrill.session.Session;
import spanrill.session.SessionCore;
import spanrill.session.SessionType;
import spanrill.session.ViewerRequest;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/**
 * Routes of the DASH front:
 * <ul>
 * <li>{@code GET /dash/TITLE/manifest.mpd?token=T} (or {@code Authorization: Bearer T}): asks for a session;
 * <li>{@code GET /s/ID/manifest.mpd}: the session's MPD as it is now;
 * <li>{@code GET /s/ID/v/init.mp4}, {@code GET /s/ID/v/RUNG/NUMBER.m4s}: its segments of video;
 * <li>{@code GET /s/ID/a/init.mp4}, {@code GET /s/ID/a/NUMBER.m4s}: those of audio, the same at all rungs;
 * <li>{@code DELETE /s/ID}: the viewer is done (players that just stop are noticed by their silence).
 * </ul>
 */
public final class DashRequestRouter {
    /** Field that tells what became of a request: plays, refused, failed or none. */
    public static final String ANSWER = "spanrill-answer";
    /** Field that tells, in a word, why a session is over: the words of {@link SessionEnd}. */
    public static final String OVER = "spanrill-over";
    /** Field that tells which rung a segment is of. */
    public static final String RUNG = "spanrill-rung";

    private static final double BUSY_MS = 1000;
    private static final double SHORTEST_MS = 500;
    private static final Pattern MANIFEST = Pattern.compile("/dash/([A-Za-z0-9._~-]{1,200})/manifest\\.mpd");
    private static final Pattern SEGMENT =
            Pattern.compile("/s/([A-Za-z0-9_-]{22})/(?:v/(?:(init\\.mp4)|(\\d{1,3})/(\\d{1,9}\\.m4s))"
                    + "|(a/(?:init\\.mp4|\\d{1,9}\\.m4s)))");
    private static final Pattern SESSION = Pattern.compile("/s/([A-Za-z0-9_-]{22})(/manifest\\.mpd)?");

    private final FrontSettings settings;
    private final SessionCore core;
    private final SegmentSource boxes;
    private final TokenVerifier gate;
    private final CorsHandler cors;
    private final Clock clock;
    private final Map<String, SessionType> types;

    /** A viewer side on a core. */
    public DashRequestRouter(
            FrontSettings settings, SessionCore core, SegmentSource boxes, TokenVerifier gate, Clock clock) {
        this.settings = settings;
        this.core = core;
        this.boxes = boxes;
        this.gate = gate;
        cors = new CorsHandler(settings.web().origins());
        this.clock = clock;
        types = settings.coreSettings().types();
    }

    /** Takes a request. */
    public void route(Exchange exchange) {
        try {
            String path = exchange.head().path();
            String method = exchange.head().method();
            boolean reads = method.equals("GET") || method.equals("HEAD");
            if (cors.handle(exchange)) {
                return;
            }
            Matcher manifest = MANIFEST.matcher(path);
            Matcher segment = SEGMENT.matcher(path);
            Matcher session = SESSION.matcher(path);
            if (manifest.matches() && method.equals("GET")) {
                requestManifest(exchange, manifest.group(1));
            } else if (segment.matches() && reads) {
                serveSegment(exchange, segment);
            } else if (session.matches() && (session.group(2) != null ? reads : method.equals("DELETE"))) {
                serveSession(exchange, session.group(1), session.group(2) != null);
            } else if (manifest.matches() || segment.matches() || session.matches()) {
                ProblemResponse.respond(exchange, 405, "method", "none", "This method is not served here.", 0);
            } else {
                ProblemResponse.respond(exchange, 404, "no-such-path", "none", "There is nothing here.", 0);
            }
        } catch (RuntimeException e) {
            EventLog.error("viewer.fault", e);
            ProblemResponse.respond(exchange, 500, "fault", "none", "A fault of this front.", 0);
        }
    }

    private void requestManifest(Exchange exchange, String title) {
        double arrivedAt = clock.now();
        String text = tokenOf(exchange);
        // Read before it is verified: only how long it may wait hangs on it.
        String claimed = TokenKeys.claimedClass(text);
        FrontSettings.ClassSettings type = settings.classes().get(claimed);
        double deadline = type == null
                ? arrivedAt + SHORTEST_MS
                : types.get(claimed).answerTime().deadline(arrivedAt);
        Runnable leave = gate.verify(
                new spanrill.front.token.TokenVerifier.VerificationRequest(
                        text, title, (long) (arrivedAt / 1000), deadline, type == null ? 0 : type.worth()),
                exchange.channel().eventLoop(),
                verdict -> {
                    if (verdict.isShed()) {
                        ProblemResponse.respond(exchange, 503, "no-room", "none", "Too many ask; come later.", BUSY_MS);
                    } else if (verdict.fault() != null) {
                        ProblemResponse.respond(
                                exchange,
                                verdict.fault().status(),
                                "token",
                                "none",
                                verdict.fault().getMessage(),
                                0);
                    } else if (!exchange.isEnded()) {
                        requestSession(exchange, verdict.token(), arrivedAt);
                    }
                });
        if (!exchange.isStarted()) {
            exchange.onClosedIfUnset(leave);
        }
    }

    private void requestSession(Exchange exchange, SessionToken token, double arrivedAt) {
        int top = Math.min(token.top(), settings.ladder().kb().size() - 1);
        if (top < settings.classes().get(token.className()).floor()) {
            ProblemResponse.respond(
                    exchange, 403, "token", "none", "the token's top rung is below its class's floor", 0);
            return;
        }
        String tenant =
                token.tenant() != null && settings.tenants().containsKey(token.tenant()) ? token.tenant() : null;
        ManifestCall call = new ManifestCall(settings, exchange);
        exchange.onClosed(() -> core.cancelCall(call));
        core.requestSession(
                new ViewerRequest(
                        token.id(),
                        arrivedAt,
                        token.expiresS() * 1000.0,
                        token.title(),
                        token.className(),
                        tenant,
                        token.viewer(),
                        top),
                call);
    }

    private static String tokenOf(Exchange exchange) {
        String bearer = exchange.head().headers().get("authorization");
        if (bearer != null && bearer.regionMatches(true, 0, "Bearer ", 0, 7)) {
            return bearer.substring(7).trim();
        }
        return exchange.head().queryParameter("token");
    }

    private void serveSegment(Exchange exchange, Matcher path) {
        Session session = core.findSession(path.group(1));
        if (session == null) {
            ProblemResponse.respond(exchange, 404, "no-session", "none", "There is no such session.", 0);
            return;
        }
        if (path.group(5) != null) {
            new SegmentRelay(core, boxes, exchange, session, SegmentRelay.NO_RUNG, path.group(5)).fetchSegment();
        } else if (path.group(2) != null) {
            new SegmentRelay(core, boxes, exchange, session, SegmentRelay.NO_RUNG, "init.mp4").fetchSegment();
        } else {
            new SegmentRelay(core, boxes, exchange, session, Integer.parseInt(path.group(3)), path.group(4))
                    .fetchSegment();
        }
    }

    private void serveSession(Exchange exchange, String id, boolean manifest) {
        Session session = core.findSession(id);
        if (session == null) {
            ProblemResponse.respond(exchange, 404, "no-session", "none", "There is no such session.", 0);
        } else if (!session.inPlay()) {
            ProblemResponse.respondSessionEnded(
                    exchange, 410, "session-over", "The session is not in play.", session.endReason(), 0);
        } else if (manifest) {
            ManifestCall.respondWithManifest(settings, exchange, session, "none");
        } else {
            core.endSession(session);
            exchange.respond(204, new Headers(), new byte[0]);
        }
    }
}
