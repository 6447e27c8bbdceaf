package spanrill.front.dash;

import spanrill.session.Session;
import spanrill.front.FrontSettings;
import spanrill.session.ViewerCall;
import spanrill.wire.dash.Mpd;
import spanrill.wire.dash.MpdWriter;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/** A manifest asked by token: its answer is the answer to the viewer's request. */
final class ManifestCall implements ViewerCall {
    private final FrontSettings settings;
    private final Exchange exchange;

    ManifestCall(FrontSettings settings, Exchange exchange) {
        this.settings = settings;
        this.exchange = exchange;
    }

    @Override
    public void plays(Session session) {
        manifest(settings, exchange, session, "plays");
    }

    @Override
    public void refused(double retryAfterMs) {
        Problem.answer(exchange, 503, "refused", "refused",
                "Turned away; nothing was spent, a later try is harmless.",
                retryAfterMs);
    }

    @Override
    public void failed() {
        Problem.answer(exchange, 502, "failed", "failed",
                "The session could not be set up; whether something was "
                + "spent is not known. Ask the issuer before another try.", 0);
    }

    @Override
    public void unusable(Unusable why) {
        switch (why) {
            case USED -> Problem.answer(exchange, 403, "token-used", "none",
                    "The session of this token is over.", 0);
            case NO_ROOM -> Problem.answer(exchange, 503, "no-room", "none", "Too many sessions; come later.",
                    1000);
            case NO_TITLE -> Problem.answer(exchange, 404, "no-title", "none", "There is no such title.", 0);
            default -> Problem.answer(exchange, 503, "not-ready", "none",
                    "This front has no list of boxes yet.", 500);
        }
    }

    /** Answers with the session's MPD: its Representations go from the class's floor to the rung in force. */
    static void manifest(FrontSettings settings, Exchange exchange, Session session, String answer) {
        java.util.List<Mpd.Representation> rungs = new java.util.ArrayList<>();
        int floor = session.type().floor();
        for (int rung = floor; rung <= Math.max(floor, session.rung()); rung++) {
            rungs.add(new Mpd.Representation(rung,
                    Math.round(settings.ladder().kb().get(rung) * session.type().scale() * 8000)));
        }
        String base = "/s/" + session.id() + "/";
        Mpd mpd = new Mpd(session.title().durationMs(), session.title().segmentMs(), base + "manifest.mpd",
                base,
                session.title().segmentMs(), session.rung(), rungs);
        exchange.respond(200, Headers.of("cache-control", "no-store", DashViewerSide.ANSWER, answer),
                "application/dash+xml", MpdWriter.write(mpd));
    }
}
