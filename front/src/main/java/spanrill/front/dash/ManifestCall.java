package spanrill.front.dash;

import java.util.ArrayList;
import java.util.List;
import spanrill.decisions.TrackRates;
import spanrill.front.FrontSettings;
import spanrill.session.Session;
import spanrill.session.Title;
import spanrill.session.ViewerCall;
import spanrill.wire.dash.Mpd;
import spanrill.wire.dash.MpdWriter;
import spanrill.wire.dash.Timeline;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/** A manifest asked by token: its answer is the answer to the viewer's request. */
final class ManifestCall implements ViewerCall {
    private static final double BITS = 8000;
    private static final String VIDEO_CODECS = "avc1.64001f";
    private static final String AUDIO_CODECS = "mp4a.40.2";

    private final FrontSettings settings;
    private final Exchange exchange;

    ManifestCall(FrontSettings settings, Exchange exchange) {
        this.settings = settings;
        this.exchange = exchange;
    }

    @Override
    public void onPlaying(Session session) {
        respondWithManifest(settings, exchange, session, "plays");
    }

    @Override
    public void onRefused(double retryAfterMs) {
        ProblemResponse.respond(
                exchange,
                503,
                "refused",
                "refused",
                "Turned away; nothing was spent, a later try is harmless.",
                retryAfterMs);
    }

    @Override
    public void onFailed() {
        ProblemResponse.respond(
                exchange,
                502,
                "failed",
                "failed",
                "The session could not be set up; whether something was "
                        + "spent is not known. Ask the issuer before another try.",
                0);
    }

    @Override
    public void onUnusable(ViewerCall.UnusableReason why) {
        switch (why) {
            case USED ->
                ProblemResponse.respond(exchange, 403, "token-used", "none", "The session of this token is over.", 0);
            case NO_ROOM ->
                ProblemResponse.respond(exchange, 503, "no-room", "none", "Too many sessions; come later.", 1000);
            case NO_TITLE -> ProblemResponse.respond(exchange, 404, "no-title", "none", "There is no such title.", 0);
            default ->
                ProblemResponse.respond(
                        exchange, 503, "not-ready", "none", "This front has no list of boxes yet.", 500);
        }
    }

    /** Answers with the session's MPD: its Representations go from the class's floor to the rung in force. */
    static void respondWithManifest(FrontSettings settings, Exchange exchange, Session session, String answer) {
        Mpd mpd = buildMpd(settings, session);
        exchange.respond(
                200,
                Headers.of("cache-control", "no-store", DashRequestRouter.ANSWER, answer),
                "application/dash+xml",
                MpdWriter.write(mpd));
    }

    private static double rateKbPerS(FrontSettings settings, Session session, int rung) {
        return settings.ladder().kb().get(rung) * session.type().scale();
    }

    private static Mpd buildMpd(FrontSettings settings, Session session) {
        Title title = session.title();
        int floor = session.type().floor();
        double audio = TrackRates.audioRate(title.audioKb(), rateKbPerS(settings, session, floor));
        Timeline timeline = Timeline.repeating(title.durationMs(), title.segmentMs());
        List<Mpd.Representation> rungs = new ArrayList<>();
        for (int rung = floor; rung <= Math.max(floor, session.rung()); rung++) {
            double video = TrackRates.videoRate(rateKbPerS(settings, session, rung), audio);
            rungs.add(new Mpd.Representation(Integer.toString(rung), Math.round(video * BITS), VIDEO_CODECS));
        }
        List<Mpd.AdaptationSet> sets = new ArrayList<>();
        sets.add(new Mpd.AdaptationSet(
                Mpd.Content.VIDEO, null, timeline, "v/init.mp4", "v/$RepresentationID$/$Number$.m4s", rungs));
        if (audio > 0) {
            sets.add(new Mpd.AdaptationSet(
                    Mpd.Content.AUDIO,
                    title.lang(),
                    timeline,
                    "a/init.mp4",
                    "a/$Number$.m4s",
                    List.of(new Mpd.Representation("audio", Math.round(audio * BITS), AUDIO_CODECS))));
        }
        String base = "/s/" + session.id() + "/";
        return new Mpd(
                title.durationMs(),
                timeline.runs().get(0).lengthMs(),
                base + "manifest.mpd",
                base,
                session.rung(),
                List.copyOf(sets));
    }
}
