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
 * Routes the HTTP requests of DASH players:
 * <ul>
 * <li>{@code GET /dash/TITLE/manifest.mpd?token=T} (or {@code Authorization: Bearer T}): requests a session;
 * <li>{@code GET /s/ID/manifest.mpd}: the current MPD of the session;
 * <li>{@code GET /s/ID/v/init.mp4}, {@code GET /s/ID/v/RUNG/NUMBER.m4s}: video segments of the session;
 * <li>{@code GET /s/ID/a/init.mp4}, {@code GET /s/ID/a/NUMBER.m4s}: audio segments, the same at all rungs;
 * <li>{@code DELETE /s/ID}: ends the session (a player that stops without it is detected by its inactivity).
 * </ul>
 */
public final class DashRequestRouter {
    /** Header field with the outcome of a request: plays, refused, failed or none. */
    public static final String ANSWER_HEADER = "spanrill-answer";
    /** Header field with the reason why a session ended: the wire name of a {@link SessionEnd}. */
    public static final String END_REASON_HEADER = "spanrill-over";
    /** Header field with the rung of a segment. */
    public static final String RUNG_HEADER = "spanrill-rung";

    private static final double SHED_RETRY_AFTER_MS = 1000;
    private static final double UNKNOWN_CLASS_DEADLINE_MS = 500;
    private static final Pattern MANIFEST_PATH = Pattern.compile("/dash/([A-Za-z0-9._~-]{1,200})/manifest\\.mpd");
    private static final Pattern SEGMENT_PATH =
            Pattern.compile("/s/([A-Za-z0-9_-]{22})/(?:v/(?:(init\\.mp4)|(\\d{1,3})/(\\d{1,9}\\.m4s))"
                    + "|(a/(?:init\\.mp4|\\d{1,9}\\.m4s)))");
    private static final Pattern SESSION_PATH = Pattern.compile("/s/([A-Za-z0-9_-]{22})(/manifest\\.mpd)?");

    private final FrontSettings settings;
    private final SessionCore core;
    private final SegmentSource segmentSource;
    private final TokenVerifier tokenVerifier;
    private final CorsHandler corsHandler;
    private final Clock clock;
    private final Map<String, SessionType> sessionTypes;

    /** Creates a router for the sessions of {@code core}. */
    public DashRequestRouter(
            FrontSettings settings,
            SessionCore core,
            SegmentSource segmentSource,
            TokenVerifier tokenVerifier,
            Clock clock) {
        this.settings = settings;
        this.core = core;
        this.segmentSource = segmentSource;
        this.tokenVerifier = tokenVerifier;
        corsHandler = new CorsHandler(settings.web().origins());
        this.clock = clock;
        sessionTypes = settings.coreSettings().types();
    }

    /** Handles a request and responds to it. */
    public void route(Exchange exchange) {
        try {
            String path = exchange.head().path();
            String method = exchange.head().method();
            boolean isRead = method.equals("GET") || method.equals("HEAD");
            if (corsHandler.handle(exchange)) {
                return;
            }
            Matcher manifest = MANIFEST_PATH.matcher(path);
            Matcher segment = SEGMENT_PATH.matcher(path);
            Matcher session = SESSION_PATH.matcher(path);
            if (manifest.matches() && method.equals("GET")) {
                requestManifest(exchange, manifest.group(1));
            } else if (segment.matches() && isRead) {
                serveSegment(exchange, segment);
            } else if (session.matches() && (session.group(2) != null ? isRead : method.equals("DELETE"))) {
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
        String tokenText = tokenOf(exchange);
        // The viewer class is read from the token before its signature is verified. Only the deadline and the worth of
        // the request in the verifier's queue depend on this class.
        String claimedClass = TokenKeys.claimedClass(tokenText);
        FrontSettings.ClassSettings classSettings = settings.classes().get(claimedClass);
        double deadline = classSettings == null
                ? arrivedAt + UNKNOWN_CLASS_DEADLINE_MS
                : sessionTypes.get(claimedClass).answerTime().deadline(arrivedAt);
        Runnable cancelVerification = tokenVerifier.verify(
                new TokenVerifier.VerificationRequest(
                        tokenText,
                        title,
                        (long) (arrivedAt / 1000),
                        deadline,
                        classSettings == null ? 0 : classSettings.worth()),
                exchange.channel().eventLoop(),
                result -> {
                    if (result.isShed()) {
                        ProblemResponse.respond(
                                exchange, 503, "no-room", "none", "Too many ask; come later.", SHED_RETRY_AFTER_MS);
                    } else if (result.rejection() != null) {
                        ProblemResponse.respond(
                                exchange,
                                result.rejection().status(),
                                "token",
                                "none",
                                result.rejection().getMessage(),
                                0);
                    } else if (!exchange.isEnded()) {
                        requestSession(exchange, result.token(), arrivedAt);
                    }
                });
        if (!exchange.isStarted()) {
            exchange.onClosedIfUnset(cancelVerification);
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
            new SegmentRelay(core, segmentSource, exchange, session, SegmentRelay.NO_RUNG, path.group(5))
                    .fetchSegment();
        } else if (path.group(2) != null) {
            new SegmentRelay(core, segmentSource, exchange, session, SegmentRelay.NO_RUNG, "init.mp4").fetchSegment();
        } else {
            new SegmentRelay(core, segmentSource, exchange, session, Integer.parseInt(path.group(3)), path.group(4))
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
