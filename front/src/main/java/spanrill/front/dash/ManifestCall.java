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

/** A manifest request with a session token. The outcome of the session request becomes the response. */
final class ManifestCall implements ViewerCall {
    private static final double BITS_PER_KB = 8000;
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

    /** Responds with a problem, because the token or the title of the request can't be used now. */
    @Override
    public void onUnusable(ViewerCall.UnusableReason reason) {
        switch (reason) {
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

    /** Responds with the session's MPD, with Representations from the floor of the class to the current rung. */
    static void respondWithManifest(FrontSettings settings, Exchange exchange, Session session, String answer) {
        Mpd mpd = buildMpd(settings, session);
        exchange.respond(
                200,
                Headers.of("cache-control", "no-store", DashRequestRouter.ANSWER_HEADER, answer),
                "application/dash+xml",
                MpdWriter.write(mpd));
    }

    private static double rateKbPerS(FrontSettings settings, Session session, int rung) {
        return settings.ladder().kb().get(rung) * session.type().scale();
    }

    private static Mpd buildMpd(FrontSettings settings, Session session) {
        Title title = session.title();
        int floor = session.type().floor();
        double audioKbPerS = TrackRates.audioRate(title.audioKb(), rateKbPerS(settings, session, floor));
        Timeline timeline = Timeline.repeating(title.durationMs(), title.segmentMs());
        List<Mpd.Representation> representations = new ArrayList<>();
        for (int rung = floor; rung <= Math.max(floor, session.rung()); rung++) {
            double videoKbPerS = TrackRates.videoRate(rateKbPerS(settings, session, rung), audioKbPerS);
            representations.add(new Mpd.Representation(
                    Integer.toString(rung), Math.round(videoKbPerS * BITS_PER_KB), VIDEO_CODECS));
        }
        List<Mpd.AdaptationSet> adaptationSets = new ArrayList<>();
        adaptationSets.add(new Mpd.AdaptationSet(
                Mpd.Content.VIDEO, null, timeline, "v/init.mp4", "v/$RepresentationID$/$Number$.m4s", representations));
        if (audioKbPerS > 0) {
            adaptationSets.add(new Mpd.AdaptationSet(
                    Mpd.Content.AUDIO,
                    title.lang(),
                    timeline,
                    "a/init.mp4",
                    "a/$Number$.m4s",
                    List.of(new Mpd.Representation("audio", Math.round(audioKbPerS * BITS_PER_KB), AUDIO_CODECS))));
        }
        String basePath = "/s/" + session.id() + "/";
        return new Mpd(
                title.durationMs(),
                timeline.runs().get(0).lengthMs(),
                basePath + "manifest.mpd",
                basePath,
                session.rung(),
                List.copyOf(adaptationSets));
    }
}
