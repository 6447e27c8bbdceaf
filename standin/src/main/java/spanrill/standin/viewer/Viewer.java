package spanrill.standin.viewer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.check.TraceEvent;
import spanrill.day.Arrival;
import spanrill.model.RandomStreams;
import spanrill.model.player.Player;
import spanrill.model.player.Player.Action;
import spanrill.model.player.ViewerTraits;
import spanrill.wire.dash.InvalidMpdException;
import spanrill.wire.dash.Mpd;
import spanrill.wire.dash.MpdParser;
import spanrill.wire.dash.MpdValidator;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;
import spanrill.wire.http.ResponseHead;

/** One viewer on sockets: does what its {@link Player} says. On one loop. */
final class Viewer {
    private static final AtomicLong ASKS = new AtomicLong();
    private static final int CONNECT_MS = 1000;
    private static final long TOKEN_S = 900;
    private static final double LOOK_MS = 500;

    private final ViewerContext stage;
    private final Arrival arrival;
    private final ViewerTraits traits;
    private final EventLoop loop;
    private final ViewerStats stats;
    private final UniformRandomProvider random;
    private final String title;
    private final boolean waits;
    private Player player;
    private int tokens;
    private String tokenId;
    private String token;
    private LongAdder received;
    private int front;
    private long ask;
    private boolean waiting;
    private ScheduledFuture<?> patience;
    private HttpClientConnection connection;
    private Mpd mpd;
    private boolean fetching;

    Viewer(ViewerContext stage, Arrival arrival, EventLoop loop) {
        this.stage = stage;
        this.arrival = arrival;
        this.loop = loop;
        stats = stage.stats();
        traits = arrival.traits();
        random = RandomStreams.of(traits.seed() + 1);
        title = "title-" + traits.title();
        waits = random.nextDouble() < stage.day().viewers().waitForHall();
    }

    private double now() {
        return stage.tap().nowMs();
    }

    private ScheduledFuture<?> after(double ms, Runnable action) {
        return loop.schedule(action, (long) (ms * 1000), TimeUnit.MICROSECONDS);
    }

    void arrive() {
        stage.tap().record(new TraceEvent.ViewerArrived(now(), name(), traits.serviceClass()));
        player = new Player(traits, now(), stage.day().viewers().returnMs());
        newToken();
        if (!waitsForHall()) {
            ask();
        }
    }

    /** True when its device has no network and tries again the moment that its hall is healed. */
    private boolean waitsForHall() {
        return waits && stage.hallWatch().runWhenHealed(traits.hall(), () -> loop.execute(this::ask));
    }

    private String name() {
        return stage.runId() + "-t" + arrival.number();
    }

    private void newToken() {
        if (tokenId != null) {
            stage.receivedBytes().remove(tokenId);
        }
        tokens++;
        tokenId = name() + "." + tokens;
        token = stage.issuer()
                .issue(tokenId, "v" + arrival.number(), title, traits.serviceClass(), null, traits.topRung(), TOKEN_S);
        received = stage.receivedBytes().counter(tokenId);
    }

    /** Goes on as its player says; {@code why} is what it goes with when it doesn't come again. */
    private void follow(Action next, String why) {
        if (next instanceof Action.Request again) {
            if (again.newToken()) {
                newToken();
            }
            stats.retries.increment();
            if (!waitsForHall()) {
                after(again.afterMs(), this::ask);
            }
        } else if (next instanceof Action.Fetch fetch) {
            if (fetch.afterMs() > 0) {
                after(fetch.afterMs(), () -> fetch(fetch));
            } else {
                fetch(fetch);
            }
        } else if (next instanceof Action.End end) {
            finish(end.lostPatience());
        } else {
            over(why);
        }
    }

    private void over(String why) {
        stage.tap().record(new TraceEvent.ViewerDeparted(now(), name(), why));
        stats.playedMs.add(Math.round(player.playedMs()));
        stats.stalledMs.add(Math.round(player.stalledMs()));
        stats.stalls.add(player.stalls());
        stage.receivedBytes().remove(tokenId);
    }

    // ---- asking

    private void ask() {
        player.onRequestSent();
        boolean first = player.requestCount() == 1;
        front = stage.frontLocator().pick(traits.hall(), random.nextDouble());
        connect(
                opened -> {
                    connection = opened;
                    waiting = true;
                    // A moment more than the stated patience: an answer that comes late is still seen as late.
                    patience = after(traits.patienceMs() + 200, this::noAnswer);
                    ask = request(opened, true);
                    if (traits.leaveAfterMs() >= 0 && first) {
                        after(traits.leaveAfterMs(), this::leave);
                    }
                    if (traits.sendsTokenTwice() && first) {
                        connect(
                                second -> {
                                    if (waiting) {
                                        request(second, false);
                                    } else {
                                        second.abort();
                                    }
                                },
                                () -> {});
                    }
                },
                () -> {
                    stats.connectionsLost.increment();
                    follow(player.onConnectionLost(now(), true), "no front");
                });
    }

    private interface Opened {
        void with(HttpClientConnection connection);
    }

    private void connect(Opened opened, Runnable failed) {
        int port = stage.frontLocator().port(front);
        if (port == 0) {
            failed.run();
            return;
        }
        HttpClientConnection.open(
                loop,
                new InetSocketAddress("127.0.0.1", port),
                CONNECT_MS,
                HttpLimits.CLIENT,
                opened::with,
                cause -> failed.run());
    }

    /** Writes the request on a connection; the second of a doubled one only looks at its answer. */
    private long request(HttpClientConnection on, boolean first) {
        long number = ASKS.incrementAndGet();
        stage.tap()
                .record(new TraceEvent.Request(
                        now(), number, front, tokenId, traits.serviceClass(), title, traits.patienceMs()));
        stats.requests.increment();
        // A second answer comes when nothing is asked any more: the checker must see that too.
        on.onUnsolicitedData(() -> stage.tap().record(new TraceEvent.Answer(now(), number, 0, "unasked")));
        double at = now();
        ResponseReader[] link = new ResponseReader[1];
        link[0] = new ResponseReader(
                true,
                () -> stage.tap()
                        .record(new TraceEvent.Answer(
                                now(), number, link[0].head().status(), answerOf(link[0].head()))),
                (head, all) -> {
                    if (first) {
                        answered(head, all, at);
                    } else {
                        second(on, number, head);
                    }
                });
        if (!ResponseReader.get(on, "/dash/" + title + "/manifest.mpd?token=" + token, link[0])) {
            link[0].onFailure(HttpClientConnection.Failure.CLOSED, "closed");
        }
        return number;
    }

    private void second(HttpClientConnection on, long number, ResponseHead head) {
        if (head == null) {
            stage.tap().record(new TraceEvent.RequestAborted(now(), number, false));
        } else {
            stats.count(answerOf(head));
        }
        on.abort();
    }

    private static String answerOf(ResponseHead head) {
        String answer = head.headers().get("spanrill-answer");
        return answer == null ? "none" : answer;
    }

    private void noAnswer() {
        if (waiting) {
            waiting = false;
            stage.tap().record(new TraceEvent.RequestTimedOut(now(), ask));
            connection.abort();
            over("no answer");
        }
    }

    private void leave() {
        if (waiting) {
            waiting = false;
            patience.cancel(false);
            stage.tap().record(new TraceEvent.RequestAborted(now(), ask, true));
            connection.abort();
            over("left");
        }
    }

    private void answered(ResponseHead head, ResponseReader link, double at) {
        if (!waiting) {
            return;
        }
        waiting = false;
        patience.cancel(false);
        if (head == null) {
            stage.tap().record(new TraceEvent.RequestAborted(now(), ask, false));
            stats.connectionsLost.increment();
            // Whether something was spent isn't known: who has paid asks the issuer, not the next front.
            follow(
                    player.onConnectionLost(
                            now(),
                            !stage.day().classes().get(traits.serviceClass()).once()),
                    "front lost");
            return;
        }
        String answer = answerOf(head);
        stats.count(answer);
        switch (answer) {
            case "plays" -> {
                stats.setUpMicros.recordValue((long) Math.max(1, (now() - at) * 1000));
                play(link.text());
                if (traits.replaysToken()) {
                    connect(second -> request(second, false), () -> {});
                }
            }
            case "refused" -> {
                connection.abort();
                follow(player.onRefused(now(), retryAfterMs(head)), "refused");
            }
            default -> {
                connection.abort();
                over(answer.equals("failed") ? "failed" : "not taken");
            }
        }
    }

    private static double retryAfterMs(ResponseHead head) {
        String seconds = head.headers().get("retry-after");
        return seconds != null && seconds.matches("\\d{1,6}") ? Integer.parseInt(seconds) * 1000.0 : 0;
    }

    // ---- playing

    private void play(String text) {
        try {
            mpd = MpdParser.parse(text);
            List<MpdValidator.Finding> findings = MpdValidator.check(text);
            if (!findings.isEmpty()) {
                throw new IllegalStateException("a front's MPD is not as the standard has it: " + findings);
            }
        } catch (InvalidMpdException fault) {
            throw new IllegalStateException("a front's MPD is malformed: " + fault.getMessage());
        }
        long audio =
                mpd.audio() == null ? 0 : mpd.audio().representations().get(0).bandwidth();
        List<Long> ladder = mpd.videoRepresentations().stream()
                .map(each -> each.bandwidth() + audio)
                .toList();
        Action first = player.onPlaying(now(), ladder, mpd.nominalSegmentMs(), mpd.segmentCount());
        if (!ResponseReader.get(
                connection, mpd.baseUrl() + "v/init.mp4", new ResponseReader(false, () -> {}, (head, link) -> {
                    if (head != null && head.status() == 200) {
                        follow(first, "watched");
                    } else {
                        broken(head);
                    }
                }))) {
            broken(null);
        }
    }

    private void fetch(Action.Fetch fetch) {
        player.onFetchStarted(now());
        Mpd.Representation rung = mpd.videoRepresentations().get(fetch.rung());
        ResponseReader link = new ResponseReader(false, () -> {}, (head, all) -> video(head, all, fetch.number()));
        link.countBytesIn(received);
        fetching = true;
        if (!ResponseReader.get(connection, mpd.baseUrl() + mpd.video().segmentPath(rung, fetch.number()), link)) {
            fetching = false;
            broken(null);
            return;
        }
        if (traits.neverReads()) {
            connection.setAutoRead(false);
            return;
        }
        look(link);
    }

    /** Looks from time to time whether the viewer still has patience with the segment under way. */
    private void look(ResponseReader link) {
        after(LOOK_MS, () -> {
            if (!fetching || link.isDone()) {
                return;
            }
            Action next = player.checkPatience(now());
            if (next == null) {
                look(link);
            } else {
                link.ignore();
                fetching = false;
                connection.abort();
                stats.sessionsAbandoned.increment();
                tooSlow();
            }
        });
    }

    /** A segment of video came, or was lost; its audio comes next where there is any. */
    private void video(ResponseHead head, ResponseReader link, int number) {
        Mpd.AdaptationSet audio = mpd.audio();
        if (head == null || head.status() != 200 || audio == null) {
            segment(head, link.bytes(), number);
            return;
        }
        ResponseReader next = new ResponseReader(
                false,
                () -> {},
                (other, all) -> segment(
                        other == null || other.status() != 200 ? other : head, link.bytes() + all.bytes(), number));
        next.countBytesIn(received);
        String path = mpd.baseUrl() + audio.segmentPath(audio.representations().get(0), number);
        if (ResponseReader.get(connection, path, next)) {
            look(next);
        } else {
            fetching = false;
            broken(null);
        }
    }

    private void segment(ResponseHead head, long bytes, int number) {
        fetching = false;
        if (head == null || head.status() != 200) {
            broken(head);
            return;
        }
        String rung = head.headers().get("spanrill-rung");
        int served = rung != null && rung.matches("\\d{1,3}") ? Integer.parseInt(rung) : -1;
        double now = now();
        stage.tap().record(new TraceEvent.SegmentReceived(now, tokenId, front, served, bytes, 0));
        stats.segments.increment();
        stats.mediaBytes.add(bytes);
        stats.rungSum.add(Math.max(0, served));
        // Bytes are scaled, bandwidths in the MPD are not.
        follow(
                player.onSegmentReceived(
                        now,
                        bytes * 8 / stage.day().byteScale(),
                        mpd.video().timeline().segmentLengthMs(number)),
                "watched");
    }

    private void finish(boolean lostPatience) {
        (lostPatience ? stats.sessionsAbandoned : stats.sessionsFinished).increment();
        String target = mpd.baseUrl().substring(0, mpd.baseUrl().length() - 1);
        if (!connection.send(
                "DELETE",
                target,
                Headers.of("host", "front"),
                new byte[0],
                new ResponseReader(false, () -> {}, (head, link) -> connection.abort()))) {
            connection.abort();
        }
        if (lostPatience) {
            tooSlow();
        } else {
            over("watched");
        }
    }

    private void tooSlow() {
        stage.tap().record(new TraceEvent.SessionBroken(now(), tokenId, front, -1, null));
        newToken();
        follow(player.onGaveUp(now()), "too slow");
    }

    /** The session ended before its time; the head tells it, or is null when the connection was lost. */
    private void broken(ResponseHead head) {
        stage.tap()
                .record(new TraceEvent.SessionBroken(
                        now(),
                        tokenId,
                        front,
                        head == null ? 0 : head.status(),
                        head == null ? null : head.headers().get("spanrill-over")));
        connection.abort();
        follow(player.onConnectionLost(now(), true), "broken");
    }
}
