package spanrill.front.dash;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;
import spanrill.decisions.RungLimiter;
import spanrill.decisions.SegmentRetryPolicy;
import spanrill.decisions.SessionEnd;
import spanrill.decisions.SessionState.Phase;
import spanrill.front.box.SegmentSource;
import spanrill.session.Session;
import spanrill.session.SessionCore;
import spanrill.wire.dash.Cmcd;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;
import spanrill.wire.http.ResponseHead;

/**
 * One segment from a box to a viewer. It waits while its session is on the move, asks anew when the box was
 * lost before the first byte went out, and holds the box back while the viewer reads slowly.
 */
final class SegmentRelay implements SegmentSource.SegmentSink {
    /** For what is the same at all rungs: initialization segments and audio. */
    static final int NO_RUNG = -1;

    private final SessionCore core;
    private final SegmentSource boxes;
    private final Exchange exchange;
    private final Session session;
    private final int asked;
    private final String name;
    private spanrill.front.box.SegmentSource.SegmentTransfer segment;
    private String key;
    private int tries;
    private int servedRung;
    private String tag;

    SegmentRelay(SessionCore core, SegmentSource boxes, Exchange exchange, Session session, int asked, String name) {
        this.core = core;
        this.boxes = boxes;
        this.exchange = exchange;
        this.session = session;
        this.asked = asked;
        this.name = name;
    }

    /** Begins, or goes on after a move. */
    void fetchSegment() {
        if (exchange.isEnded()) {
            return;
        }
        core.recordActivity(session);
        Phase phase = session.phase();
        if (phase == Phase.MOVING || phase == Phase.MOVING_SET_UP) {
            session.onChange(this::fetchSegment);
            return;
        }
        if (phase != Phase.PLAYING) {
            respondSessionEnded();
            return;
        }
        exchange.onClosed(this::cancelTransfer);
        exchange.onWritable(() -> setReading(true));
        int rung = asked == NO_RUNG
                ? session.rung()
                : RungLimiter.effectiveRung(
                        asked, session.rung(), session.type().floor());
        tag = "\"" + session.title().name() + "." + (asked == NO_RUNG ? "" : rung + ".") + name + "\"";
        if (tries == 0) {
            recordPlayerReport();
            if (exchange.head().headers().containsToken("if-none-match", tag)) {
                // RFC 9110 section 13.1.2: media never changes, so the name of what would be served decides.
                exchange.respond(304, Headers.of("etag", tag), new byte[0]);
                return;
            }
        }
        key = session.attemptKey();
        tries++;
        String path = asked == NO_RUNG ? name : rung + "/" + name;
        segment = boxes.fetch(session.box(), key, path, supportedRange(), this);
        servedRung = rung;
    }

    /** What the player tells of itself is kept with its session. */
    private void recordPlayerReport() {
        String query = exchange.head().queryParameter("CMCD");
        String text = query;
        if (text == null) {
            Headers headers = exchange.head().headers();
            String request = headers.get("cmcd-request");
            String status = headers.get("cmcd-status");
            text = request == null ? status : status == null ? request : request + "," + status;
        }
        if (text != null) {
            core.recordPlayerReport(session, Cmcd.parse(text).starved());
        }
    }

    private String supportedRange() {
        String range = exchange.head().headers().get("range");
        // RFC 9110 section 14.2: a range that isn't understood is passed over.
        return spanrill.wire.http.ByteRange.isSupported(range) ? range : null;
    }

    private void respondSessionEnded() {
        SessionEnd end = session.endReason();
        if (end != null && end.retryAdvice() == SessionEnd.RetryAdvice.RETRY_LATER) {
            ProblemResponse.respondSessionEnded(
                    exchange, 503, "move-refused", "No box can go on with this session.", end, session.retryAfterMs());
        } else {
            ProblemResponse.respondSessionEnded(exchange, 410, "session-over", "The session is over.", end, 0);
        }
    }

    @Override
    public void onHead(ResponseHead head) {
        Headers headers = Headers.of(
                "content-type",
                "video/mp4",
                "cache-control",
                "no-store",
                DashRequestRouter.RUNG,
                Integer.toString(servedRung),
                "etag",
                tag);
        String range = head.headers().get("content-range");
        if (range != null) {
            headers.add("content-range", range);
        }
        exchange.start(head.status(), headers, head.contentLength());
    }

    @Override
    public void onData(ByteBuf part) {
        core.recordActivity(session);
        exchange.write(part.retain());
        if (!exchange.isWritable()) {
            setReading(false);
        }
    }

    private void setReading(boolean on) {
        if (segment != null) {
            segment.setReading(on);
        }
    }

    @Override
    public void onEnd() {
        segment = null;
        core.recordActivity(session);
        exchange.end();
    }

    @Override
    public void onLost(int status, String reason) {
        segment = null;
        if (exchange.isEnded()) {
            return;
        }
        SegmentRetryPolicy.Decision choice = SegmentRetryPolicy.decide(exchange.isStarted(), status, tries);
        if (choice.sessionLost()) {
            core.handleAttemptLost(key, SessionEnd.BOX_FORGOT);
        }
        switch (choice.action()) {
            case ABORT -> exchange.abort();
            case RANGE_NOT_SATISFIABLE -> exchange.respond(416, new Headers(), new byte[0]);
            case GIVE_UP ->
                ProblemResponse.respond(exchange, 502, "segment-lost", "none", "The segment could not be had.", 0);
            default ->
                exchange.channel()
                        .eventLoop()
                        .schedule(this::fetchSegment, (long) choice.retryDelayMs(), TimeUnit.MILLISECONDS);
        }
    }

    private void cancelTransfer() {
        if (segment != null) {
            segment.cancel();
            segment = null;
        }
    }
}
