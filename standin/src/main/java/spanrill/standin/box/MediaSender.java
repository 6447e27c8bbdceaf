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

/** Moves a box's media: each session gets what the model's links grant it, and no byte more. */
final class MediaSender {
    private static final double START_BOOST = 4;
    private static final double STEADY_BOOST = 1.3;
    private static final int START_SEGMENTS = 2;

    private static final Pattern MEDIA = Pattern.compile("(?:(a)|(\\d{1,3}))/([1-9]\\d{0,8})\\.m4s");

    private final Day day;
    private final Timeline timeline;
    private final LinkNetwork network;
    private final int cell;
    private final Impairments condition;
    private final LinkModelTimer modelTime;
    private final List<SegmentTransfer> transfers = new ArrayList<>();

    MediaSender(Day day, LinkNetwork network, int cell, Impairments condition, LinkModelTimer modelTime) {
        this.day = day;
        timeline = Timeline.repeating(day.titles().durationMs(), day.titles().segmentLengthsMs());
        this.network = network;
        this.cell = cell;
        this.condition = condition;
        this.modelTime = modelTime;
    }

    private double bytesPerMs(BoxSession session, int rung) {
        return day.ladder().kb().get(rung) * session.scale * day.byteScale();
    }

    private long rate(BoxSession session) {
        return Math.max(1, Math.round(bytesPerMs(session, session.rung) * 1000));
    }

    void addSession(double now, BoxSession session) {
        modelTime.measure(() -> session.flow = network.addFlow(now, cell, rate(session)));
    }

    void removeSession(double now, BoxSession session) {
        modelTime.measure(() -> network.removeFlow(now, session.flow));
    }

    void changeRung(double now, BoxSession session, int rung) {
        session.rung = rung;
        modelTime.measure(() -> network.setRate(now, session.flow, rate(session)));
    }

    void clear() {
        transfers.clear();
    }

    /** Begins to send a segment of a session by its name, or answers that there is none. */
    void startSegment(Exchange exchange, BoxSession session, String name) {
        long whole = length(session, name);
        if (whole < 0) {
            exchange.respond(404, new Headers(), new byte[0]);
            return;
        }
        String range = exchange.head().headers().get("range");
        boolean partial = ByteRange.isSupported(range);
        ByteRange part = partial ? ByteRange.resolve(range, whole) : new ByteRange(0, whole - 1);
        if (part == null) {
            exchange.respond(416, Headers.of("content-range", "bytes */" + whole), new byte[0]);
            return;
        }
        Headers headers = Headers.of("content-type", "video/mp4");
        if (partial) {
            headers.add("content-range", "bytes " + part.first() + "-" + part.last() + "/" + whole);
        }
        exchange.start(partial ? 206 : 200, headers, part.length());
        session.transfers++;
        transfers.add(new SegmentTransfer(exchange, session, session.title + "/" + name, part.first(), part.length()));
    }

    /** Length of a segment in bytes on the wire, -1 when there is none of that name. */
    private long length(BoxSession session, String name) {
        if (name.equals("init.mp4") || name.equals("a/init.mp4")) {
            return MediaBytes.INIT_BYTES;
        }
        Matcher media = MEDIA.matcher(name);
        if (!media.matches()) {
            return -1;
        }
        long ms = timeline.segmentLengthMs(Integer.parseInt(media.group(3)));
        boolean audio = media.group(1) != null;
        int rung = audio ? 0 : Integer.parseInt(media.group(2));
        if (ms == 0 || rung >= day.ladder().kb().size()) {
            return -1;
        }
        double audioPerMs =
                TrackRates.audioRate(day.titles().audioKb(), day.ladder().kb().get(session.floor) * session.scale)
                        * day.byteScale();
        if (audio && audioPerMs == 0) {
            return -1;
        }
        session.segments += audio ? 0 : 1;
        double perMs = audio ? audioPerMs : TrackRates.videoRate(bytesPerMs(session, rung), audioPerMs);
        return Math.max(1, Math.round(perMs * ms));
    }

    /** Moves transfers on: each session by what the model granted it since the last time. */
    void sendGrantedBytes(double now, double ms, Iterable<BoxSession> sessions) {
        modelTime.measure(() -> grant(now, ms, sessions));
        transfers.removeIf(transfer -> {
            boolean silent = condition.isUnreachableFrom(transfer.session.zone);
            boolean done = !silent && transfer.sendGrantedBytes();
            if (silent || transfer.isReaderLimited()) {
                // Not the link holds it back but its reader, or a cut.
                transfer.session.idleMs += ms;
            }
            transfer.session.transfers -= done ? 1 : 0;
            return done;
        });
    }

    private void grant(double now, double ms, Iterable<BoxSession> sessions) {
        double share = network.share(cell);
        for (BoxSession session : sessions) {
            double perMs = session.flow.rate() * share / 1000;
            session.bucket.addGranted(network.grantedBytes(now, session.flow), perMs);
            session.hadRoom |= share >= 1;
            if (session.transfers == 0) {
                session.idleMs += ms;
            } else if (share >= 1) {
                // Where the link has room a player may fill its buffer.
                double boost = session.segments <= START_SEGMENTS ? START_BOOST : STEADY_BOOST;
                session.bucket.addBurst(perMs * ms * (boost - 1));
            }
        }
    }
}
