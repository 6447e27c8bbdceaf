package spanrill.standin.box;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import spanrill.day.Day;
import spanrill.decisions.TrackRates;
import spanrill.model.link.LinkNetwork;
import spanrill.wire.dash.Timeline;
import spanrill.wire.http.ByteRange;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/** Sends a box's media. Each session is limited to the bytes that the model of links grants it. */
final class MediaSender {
    private static final double START_RATE_FACTOR = 4;
    private static final double STEADY_RATE_FACTOR = 1.3;
    private static final int START_SEGMENTS = 2;

    private static final Pattern SEGMENT_NAME = Pattern.compile("(?:(a)|(\\d{1,3}))/([1-9]\\d{0,8})\\.m4s");

    private final Day day;
    private final Timeline timeline;
    private final LinkNetwork network;
    private final int cell;
    private final Impairments impairments;
    private final LinkModelTimer linkModelTimer;
    private final List<SegmentTransfer> transfers = new ArrayList<>();

    MediaSender(Day day, LinkNetwork network, int cell, Impairments impairments, LinkModelTimer linkModelTimer) {
        this.day = day;
        timeline = Timeline.repeating(day.titles().durationMs(), day.titles().segmentLengthsMs());
        this.network = network;
        this.cell = cell;
        this.impairments = impairments;
        this.linkModelTimer = linkModelTimer;
    }

    private double videoBytesPerMs(BoxSession session, int rung) {
        return day.ladder().kb().get(rung) * session.scale * day.byteScale();
    }

    private long bytesPerS(BoxSession session) {
        return Math.max(1, Math.round(videoBytesPerMs(session, session.rung) * 1000));
    }

    void addSession(double nowMs, BoxSession session) {
        linkModelTimer.measure(() -> session.flow = network.addFlow(nowMs, cell, bytesPerS(session)));
    }

    void removeSession(double nowMs, BoxSession session) {
        linkModelTimer.measure(() -> network.removeFlow(nowMs, session.flow));
    }

    void changeRung(double nowMs, BoxSession session, int rung) {
        session.rung = rung;
        linkModelTimer.measure(() -> network.setRate(nowMs, session.flow, bytesPerS(session)));
    }

    void clear() {
        transfers.clear();
    }

    /** Starts to send the named segment, or answers 404 for an unknown name and 416 for an invalid range. */
    void startSegment(Exchange exchange, BoxSession session, String name) {
        long totalBytes = segmentBytes(session, name);
        if (totalBytes < 0) {
            exchange.respond(404, new Headers(), new byte[0]);
            return;
        }
        String range = exchange.head().headers().get("range");
        boolean partial = ByteRange.isSupported(range);
        ByteRange requested = partial ? ByteRange.resolve(range, totalBytes) : new ByteRange(0, totalBytes - 1);
        if (requested == null) {
            exchange.respond(416, Headers.of("content-range", "bytes */" + totalBytes), new byte[0]);
            return;
        }
        Headers headers = Headers.of("content-type", "video/mp4");
        if (partial) {
            headers.add("content-range", "bytes " + requested.first() + "-" + requested.last() + "/" + totalBytes);
        }
        exchange.start(partial ? 206 : 200, headers, requested.length());
        session.openTransfers++;
        transfers.add(new SegmentTransfer(
                exchange, session, session.title + "/" + name, requested.first(), requested.length()));
    }

    /** Returns the length of a segment in bytes on the wire, or -1 when no segment has this name. */
    private long segmentBytes(BoxSession session, String name) {
        if (name.equals("init.mp4") || name.equals("a/init.mp4")) {
            return MediaBytes.INIT_BYTES;
        }
        Matcher matcher = SEGMENT_NAME.matcher(name);
        if (!matcher.matches()) {
            return -1;
        }
        long durationMs = timeline.segmentLengthMs(Integer.parseInt(matcher.group(3)));
        boolean audio = matcher.group(1) != null;
        int rung = audio ? 0 : Integer.parseInt(matcher.group(2));
        if (durationMs == 0 || rung >= day.ladder().kb().size()) {
            return -1;
        }
        double audioBytesPerMs =
                TrackRates.audioRate(day.titles().audioKb(), day.ladder().kb().get(session.floorRung) * session.scale)
                        * day.byteScale();
        if (audio && audioBytesPerMs == 0) {
            return -1;
        }
        session.videoSegments += audio ? 0 : 1;
        double bytesPerMs =
                audio ? audioBytesPerMs : TrackRates.videoRate(videoBytesPerMs(session, rung), audioBytesPerMs);
        return Math.max(1, Math.round(bytesPerMs * durationMs));
    }

    /** Sends the bytes that the model granted to each session in the last {@code elapsedMs}. */
    void sendGrantedBytes(double nowMs, double elapsedMs, Iterable<BoxSession> sessions) {
        linkModelTimer.measure(() -> updateGrants(nowMs, elapsedMs, sessions));
        transfers.removeIf(transfer -> {
            boolean unreachable = impairments.isUnreachableFrom(transfer.session.zone);
            boolean done = !unreachable && transfer.sendGrantedBytes();
            if (unreachable || transfer.isReaderLimited()) {
                // The reader or a partition limits this transfer, not the link: the session counts as idle.
                transfer.session.idleMs += elapsedMs;
            }
            transfer.session.openTransfers -= done ? 1 : 0;
            return done;
        });
    }

    private void updateGrants(double nowMs, double elapsedMs, Iterable<BoxSession> sessions) {
        double share = network.share(cell);
        for (BoxSession session : sessions) {
            double bytesPerMs = session.flow.rate() * share / 1000;
            session.bucket.addGranted(network.grantedBytes(nowMs, session.flow), bytesPerMs);
            session.linkHadRoom |= share >= 1;
            if (session.openTransfers == 0) {
                session.idleMs += elapsedMs;
            } else if (share >= 1) {
                // A link with spare capacity lets the player fill its buffer faster than it plays.
                double rateFactor = session.videoSegments <= START_SEGMENTS ? START_RATE_FACTOR : STEADY_RATE_FACTOR;
                session.bucket.addBurst(bytesPerMs * elapsedMs * (rateFactor - 1));
            }
        }
    }
}
