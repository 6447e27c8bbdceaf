package spanrill.standin.viewer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import spanrill.check.Tap;
import spanrill.check.TapEvent;
import spanrill.standin.day.Arrival;
import spanrill.standin.day.Day;
import spanrill.standin.day.Plan;
import spanrill.standin.token.Issuer;
import spanrill.wire.dash.Mpd;
import spanrill.wire.dash.MpdFault;
import spanrill.wire.dash.MpdParser;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;
import spanrill.wire.http.ResponseHead;

/** One viewer: asks, plays, comes again. On one loop. */
final class Viewer {
    private static final AtomicLong ASKS = new AtomicLong();
    private static final int CONNECT_MS = 1000;
    private static final double BUFFER_MS = 3000;
    private static final long TOKEN_S = 900;

    private final Arrival arrival;
    private final Day day;
    private final Day.DayClass type;
    private final EventLoop loop;
    private final FrontDoor door;
    private final Issuer issuer;
    private final Tap tap;
    private final CrowdStats stats;
    private final UniformRandomProvider random;
    private final String title;
    private double endsAt;
    private int tries;
    private int tokens;
    private String tokenId;
    private String token;
    private int front;
    private long ask;
    private double askedAt;
    private boolean waiting;
    private ScheduledFuture<?> patience;
    private HttpClientConnection connection;
    // Playing.
    private Mpd mpd;
    private int number;
    private double bufferMs;
    private double lastAt;
    private double segmentAt;
    private boolean started;

    Viewer(Arrival arrival, Day day, EventLoop loop, FrontDoor door, Issuer issuer, Tap tap,
            CrowdStats stats) {
        this.arrival = arrival;
        this.day = day;
        type = day.classes().get(arrival.cls());
        this.loop = loop;
        this.door = door;
        this.issuer = issuer;
        this.tap = tap;
        this.stats = stats;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(arrival.seed());
        title = "title-" + arrival.title();
    }

    void come() {
        endsAt = tap.now() + arrival.sessionMs();
        newToken();
        ask();
    }

    private void newToken() {
        tokens++;
        tokenId = "t" + arrival.number() + "." + tokens;
        token = issuer.issue(tokenId, "v" + arrival.number(), title, arrival.cls(), null, arrival.top(),
                TOKEN_S);
    }

    private void ask() {
        tries++;
        front = door.pick(arrival.zone(), random.nextDouble());
        connect(front, opened -> {
            connection = opened;
            ask = request(opened, true);
            askedAt = tap.now();
            waiting = true;
            // A moment more than the stated patience: an answer that comes late is still seen as late.
            patience = after(type.patienceMs() + 200, this::noAnswer);
            if (arrival.leavesMs() >= 0 && tries == 1) {
                after(arrival.leavesMs(), this::leave);
            }
            if (arrival.doubles() && tries == 1) {
                connect(front, second -> {
                    if (waiting) {
                        request(second, false);
                    } else {
                        second.abandon();
                    }
                }, () -> { });
            }
        }, () -> {
            stats.lost.increment();
            again(false);
        });
    }

    private interface Opened {
        void with(HttpClientConnection connection);
    }

    private void connect(int to, Opened opened, Runnable failed) {
        int port = door.port(to);
        if (port == 0) {
            failed.run();
            return;
        }
        HttpClientConnection.open(loop, new InetSocketAddress("127.0.0.1", port), CONNECT_MS,
                HttpLimits.CLIENT,
                opened::with, cause -> failed.run());
    }

    /** Writes the request on a connection; the second of a doubled one only looks at its answer. */
    private long request(HttpClientConnection on, boolean first) {
        long number = ASKS.incrementAndGet();
        double at = tap.now();
        tap.put(new TapEvent.Ask(at, number, front, tokenId, arrival.cls(), title, type.patienceMs()));
        stats.asks.increment();
        // A second answer comes when nothing is asked any more: the checker must see that too.
        on.onUnasked(() -> tap.put(new TapEvent.Answer(tap.now(), number, 0, "unasked")));
        ViewerLink[] link = new ViewerLink[1];
        link[0] = new ViewerLink(true, () -> tap.put(new TapEvent.Answer(tap.now(), number, link[0].seen()
                .status(),
                answerOf(link[0].seen()))), (head, all) -> {
                    if (first) {
                        answered(head, all, at);
                    } else {
                        if (head == null) {
                            tap.put(new TapEvent.AskLost(tap.now(), number, false));
                        } else {
                            count(answerOf(head));
                        }
                        on.abandon();
                    }
                });
        if (!ViewerLink.get(on, "/dash/" + title + "/manifest.mpd?token=" + token, link[0])) {
            link[0].lost(HttpClientConnection.Loss.CLOSED, "closed");
        }
        return number;
    }

    private static String answerOf(ResponseHead head) {
        String answer = head.headers().get("spanrill-answer");
        return answer == null ? "none" : answer;
    }

    private void count(String answer) {
        switch (answer) {
            case "plays" -> stats.plays.increment();
            case "refused" -> stats.refused.increment();
            case "failed" -> stats.failed.increment();
            default -> stats.notTaken.increment();
        }
    }

    private void noAnswer() {
        if (waiting) {
            waiting = false;
            stats.unanswered.increment();
            connection.abandon();
        }
    }

    private void leave() {
        if (waiting) {
            waiting = false;
            patience.cancel(false);
            stats.left.increment();
            tap.put(new TapEvent.AskLost(tap.now(), ask, true));
            connection.abandon();
        }
    }

    private void answered(ResponseHead head, ViewerLink link, double at) {
        if (!waiting) {
            return;
        }
        waiting = false;
        patience.cancel(false);
        if (head == null) {
            tap.put(new TapEvent.AskLost(tap.now(), ask, false));
            stats.lost.increment();
            // Whether something was spent isn't known: who has paid asks the issuer, not the next front.
            if (!type.once()) {
                newToken();
                again(false);
            }
            return;
        }
        String answer = answerOf(head);
        count(answer);
        switch (answer) {
            case "plays" -> {
                stats.setUp.recordValue((long) Math.max(1, (tap.now() - at) * 1000));
                play(link.text());
            }
            case "refused" -> {
                connection.abandon();
                String wait = head.headers().get("retry-after");
                again(wait != null && random.nextDouble() < day.viewers().honour());
            }
            default -> connection.abandon();
        }
    }

    /** Comes again after a break, if it is of those who do. */
    private void again(boolean honours) {
        if (tries >= day.viewers().tries() || tap.now() > endsAt - 1000
                || random.nextDouble() >= day.viewers().returns()) {
            return;
        }
        double wait = Plan.between(random, day.viewers().returnMs());
        after(honours ? Math.max(wait, 1000) : wait, this::ask);
    }

    private ScheduledFuture<?> after(double ms, Runnable action) {
        return loop.schedule(action, (long) (ms * 1000), TimeUnit.MICROSECONDS);
    }

    // ---- playing

    private void play(String text) {
        try {
            mpd = MpdParser.parse(text);
        } catch (MpdFault fault) {
            throw new IllegalStateException("a front's MPD is malformed: " + fault.getMessage());
        }
        number = 1;
        bufferMs = 0;
        started = false;
        lastAt = tap.now();
        if (!ViewerLink.get(connection, mpd.baseUrl() + "v/init.mp4", new ViewerLink(false, () -> { },
                (head, link) -> {
                    if (head != null && head.status() == 200) {
                        stats.bytes.add(link.bytes());
                        next();
                    } else {
                        broken();
                    }
                }))) {
            broken();
        }
    }

    private void next() {
        double now = tap.now();
        drain(now);
        if (now >= endsAt || number > mpd.segments()) {
            finish();
            return;
        }
        segmentAt = now;
        int top = mpd.representations().get(mpd.representations().size() - 1).id();
        if (!ViewerLink.get(connection, mpd.baseUrl() + "v/" + top + "/" + number + ".m4s",
                new ViewerLink(false, () -> { }, this::segment))) {
            broken();
        }
    }

    private void segment(ResponseHead head, ViewerLink link) {
        double now = tap.now();
        if (head == null || head.status() != 200) {
            broken();
            return;
        }
        String rung = head.headers().get("spanrill-rung");
        int served = rung != null && rung.matches("\\d{1,3}") ? Integer.parseInt(rung) : -1;
        tap.put(new TapEvent.Segment(now, tokenId, front, served, link.bytes(), now - segmentAt));
        stats.segments.increment();
        stats.bytes.add(link.bytes());
        stats.rungs.add(Math.max(0, served));
        drain(now);
        started = true;
        number++;
        bufferMs += mpd.segmentMs();
        double wait = Math.max(0, bufferMs - BUFFER_MS);
        if (wait > 0) {
            after(wait, this::next);
        } else {
            next();
        }
    }

    /** Plays what is buffered for the time that went by; what is missing is a stall. */
    private void drain(double now) {
        if (started) {
            double passed = now - lastAt;
            double played = Math.min(passed, bufferMs);
            bufferMs -= played;
            stats.playedMs.add(Math.round(played));
            stats.stalledMs.add(Math.round(passed - played));
        }
        lastAt = now;
    }

    private void finish() {
        stats.finished.increment();
        String target = mpd.baseUrl().substring(0, mpd.baseUrl().length() - 1);
        if (!connection.send("DELETE", target, Headers.of("host", "front"), new byte[0],
                new ViewerLink(false, () -> { }, (head, link) -> connection.abandon()))) {
            connection.abandon();
        }
    }

    private void broken() {
        drain(tap.now());
        stats.broken.increment();
        connection.abandon();
        tries = Math.max(1, tries - 1);
        newToken();
        again(false);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "viewer %d, try %d", arrival.number(), tries);
    }
}
