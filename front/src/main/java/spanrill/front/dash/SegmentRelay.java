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
 * Relays one segment from a box to a viewer. The relay waits while the session is moved to another box, retries
 * when the box fails before the first byte was sent to the viewer, and stops reading from the box while the
 * viewer reads slowly.
 */
final class SegmentRelay implements SegmentSource.SegmentSink {
    /** Requested rung of files that are the same at all rungs: initialization segments and audio. */
    static final int NO_RUNG = -1;

    private final SessionCore core;
    private final SegmentSource segmentSource;
    private final Exchange exchange;
    private final Session session;
    private final int requestedRung;
    private final String fileName;
    private SegmentSource.SegmentTransfer transfer;
    private String attemptKey;
    private int tries;
    private int servedRung;
    private String etag;

    SegmentRelay(
            SessionCore core,
            SegmentSource segmentSource,
            Exchange exchange,
            Session session,
            int requestedRung,
            String fileName) {
        this.core = core;
        this.segmentSource = segmentSource;
        this.exchange = exchange;
        this.session = session;
        this.requestedRung = requestedRung;
        this.fileName = fileName;
    }

    /** Requests the segment from the session's box, or waits while the session is moved. */
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
        int rung = requestedRung == NO_RUNG
                ? session.rung()
                : RungLimiter.effectiveRung(
                        requestedRung, session.rung(), session.type().floor());
        etag = "\"" + session.title().name() + "." + (requestedRung == NO_RUNG ? "" : rung + ".") + fileName + "\"";
        if (tries == 0) {
            recordPlayerReport();
            if (exchange.head().headers().containsToken("if-none-match", etag)) {
                // RFC 9110 section 13.1.2: media never changes, so the entity tag is made from the names.
                exchange.respond(304, Headers.of("etag", etag), new byte[0]);
                return;
            }
        }
        attemptKey = session.attemptKey();
        tries++;
        String path = requestedRung == NO_RUNG ? fileName : rung + "/" + fileName;
        transfer = segmentSource.fetch(session.box(), attemptKey, path, supportedRange(), this);
        servedRung = rung;
    }

    /** Passes the CMCD report of the player, in the query or in header fields, to the session core. */
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
        // RFC 9110 section 14.2: an unsupported range is ignored.
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
                DashRequestRouter.RUNG_HEADER,
                Integer.toString(servedRung),
                "etag",
                etag);
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

    private void setReading(boolean enabled) {
        if (transfer != null) {
            transfer.setReading(enabled);
        }
    }

    @Override
    public void onEnd() {
        transfer = null;
        core.recordActivity(session);
        exchange.end();
    }

    /** Handles the failed transfer of the segment; {@code status} is the box's status, 0 when there was no answer. */
    @Override
    public void onLost(int status, String reason) {
        transfer = null;
        if (exchange.isEnded()) {
            return;
        }
        SegmentRetryPolicy.Decision decision = SegmentRetryPolicy.decide(exchange.isStarted(), status, tries);
        if (decision.sessionLost()) {
            core.handleAttemptLost(attemptKey, SessionEnd.BOX_FORGOT);
        }
        switch (decision.action()) {
            case ABORT -> exchange.abort();
            case RANGE_NOT_SATISFIABLE -> exchange.respond(416, new Headers(), new byte[0]);
            case GIVE_UP ->
                ProblemResponse.respond(exchange, 502, "segment-lost", "none", "The segment could not be had.", 0);
            default ->
                exchange.channel()
                        .eventLoop()
                        .schedule(this::fetchSegment, (long) decision.retryDelayMs(), TimeUnit.MILLISECONDS);
        }
    }

    private void cancelTransfer() {
        if (transfer != null) {
            transfer.cancel();
            transfer = null;
        }
    }
}
