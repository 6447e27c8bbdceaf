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

/** One viewer over real connections. Its {@link Player} decides what to do next. Confined to one event loop. */
final class Viewer {
    private static final AtomicLong REQUEST_NUMBERS = new AtomicLong();
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final long TOKEN_VALIDITY_S = 900;
    private static final double PATIENCE_CHECK_MS = 500;

    private final ViewerContext context;
    private final Arrival arrival;
    private final ViewerTraits traits;
    private final EventLoop loop;
    private final ViewerStats stats;
    private final UniformRandomProvider random;
    private final String title;
    private final boolean waitsForReconnection;
    private Player player;
    private int tokenCount;
    private String tokenId;
    private String token;
    private LongAdder receivedBytes;
    private int front;
    private long requestNumber;
    private boolean awaitingAnswer;
    private ScheduledFuture<?> answerTimeout;
    private HttpClientConnection connection;
    private Mpd mpd;
    private boolean awaitingSegment;

    Viewer(ViewerContext context, Arrival arrival, EventLoop loop) {
        this.context = context;
        this.arrival = arrival;
        this.loop = loop;
        stats = context.stats();
        traits = arrival.traits();
        random = RandomStreams.of(traits.seed() + 1);
        title = "title-" + traits.title();
        waitsForReconnection = random.nextDouble() < context.day().viewers().waitForHall();
    }

    private double now() {
        return context.recorder().nowMs();
    }

    private ScheduledFuture<?> schedule(double delayMs, Runnable action) {
        return loop.schedule(action, (long) (delayMs * 1000), TimeUnit.MICROSECONDS);
    }

    void arrive() {
        context.recorder().record(new TraceEvent.ViewerArrived(now(), viewerName(), traits.serviceClass()));
        player = new Player(traits, now(), context.day().viewers().returnMs());
        renewToken();
        if (!waitsForHall()) {
            requestSession();
        }
    }

    /** Returns true when the hall is cut off and the viewer requests as soon as the hall is reconnected. */
    private boolean waitsForHall() {
        return waitsForReconnection
                && context.healNotifier().runWhenHealed(traits.hall(), () -> loop.execute(this::requestSession));
    }

    private String viewerName() {
        return context.runId() + "-t" + arrival.number();
    }

    private void renewToken() {
        if (tokenId != null) {
            context.receivedBytes().remove(tokenId);
        }
        tokenCount++;
        tokenId = viewerName() + "." + tokenCount;
        token = context.issuer()
                .issue(
                        tokenId,
                        "v" + arrival.number(),
                        title,
                        traits.serviceClass(),
                        null,
                        traits.topRung(),
                        TOKEN_VALIDITY_S);
        receivedBytes = context.receivedBytes().counter(tokenId);
    }

    /** Performs the next step of the player; {@code reason} is recorded when the viewer departs for good. */
    private void perform(Action next, String reason) {
        if (next instanceof Action.Request retry) {
            if (retry.newToken()) {
                renewToken();
            }
            stats.retries.increment();
            if (!waitsForHall()) {
                schedule(retry.afterMs(), this::requestSession);
            }
        } else if (next instanceof Action.Fetch fetch) {
            if (fetch.afterMs() > 0) {
                schedule(fetch.afterMs(), () -> fetchSegment(fetch));
            } else {
                fetchSegment(fetch);
            }
        } else if (next instanceof Action.End end) {
            endSession(end.lostPatience());
        } else {
            depart(reason);
        }
    }

    private void depart(String reason) {
        context.recorder().record(new TraceEvent.ViewerDeparted(now(), viewerName(), reason));
        stats.playedMs.add(Math.round(player.playedMs()));
        stats.stalledMs.add(Math.round(player.stalledMs()));
        stats.stalls.add(player.stalls());
        context.receivedBytes().remove(tokenId);
    }

    // ---- requesting a session

    private void requestSession() {
        player.onRequestSent();
        boolean first = player.requestCount() == 1;
        front = context.frontLocator().pick(traits.hall(), random.nextDouble());
        connect(
                opened -> {
                    connection = opened;
                    awaitingAnswer = true;
                    // 200 ms more than the patience, so that a late answer is recorded as late, not as missing.
                    answerTimeout = schedule(traits.patienceMs() + 200, this::onAnswerTimeout);
                    requestNumber = sendRequest(opened, true);
                    if (traits.leaveAfterMs() >= 0 && first) {
                        schedule(traits.leaveAfterMs(), this::leaveBeforeAnswer);
                    }
                    if (traits.sendsTokenTwice() && first) {
                        connect(
                                second -> {
                                    if (awaitingAnswer) {
                                        sendRequest(second, false);
                                    } else {
                                        second.abort();
                                    }
                                },
                                () -> {});
                    }
                },
                () -> {
                    stats.connectionsLost.increment();
                    perform(player.onConnectionLost(now(), true), "no front");
                });
    }

    private interface ConnectionListener {
        void onConnected(HttpClientConnection connection);
    }

    private void connect(ConnectionListener listener, Runnable onFailure) {
        int port = context.frontLocator().port(front);
        if (port == 0) {
            onFailure.run();
            return;
        }
        HttpClientConnection.open(
                loop,
                new InetSocketAddress("127.0.0.1", port),
                CONNECT_TIMEOUT_MS,
                HttpLimits.CLIENT,
                listener::onConnected,
                cause -> onFailure.run());
    }

    /**
     * Sends the session request on a connection and returns its number in the trace. The answer to a duplicate (not
     * {@code original}) is only recorded and counted.
     */
    private long sendRequest(HttpClientConnection target, boolean original) {
        long number = REQUEST_NUMBERS.incrementAndGet();
        context.recorder()
                .record(new TraceEvent.Request(
                        now(), number, front, tokenId, traits.serviceClass(), title, traits.patienceMs()));
        stats.requests.increment();
        // A second answer arrives after the request has ended; it is recorded for the checker too.
        target.onUnsolicitedData(() -> context.recorder().record(new TraceEvent.Answer(now(), number, 0, "unasked")));
        double requestedAt = now();
        ResponseReader[] reader = new ResponseReader[1];
        reader[0] = new ResponseReader(
                true,
                () -> context.recorder()
                        .record(new TraceEvent.Answer(
                                now(), number, reader[0].head().status(), answerOf(reader[0].head()))),
                (head, response) -> {
                    if (original) {
                        onAnswer(head, response, requestedAt);
                    } else {
                        onDuplicateAnswer(target, number, head);
                    }
                });
        if (!ResponseReader.get(target, "/dash/" + title + "/manifest.mpd?token=" + token, reader[0])) {
            reader[0].onFailure(HttpClientConnection.Failure.CLOSED, "closed");
        }
        return number;
    }

    private void onDuplicateAnswer(HttpClientConnection target, long number, ResponseHead head) {
        if (head == null) {
            context.recorder().record(new TraceEvent.RequestAborted(now(), number, false));
        } else {
            stats.count(answerOf(head));
        }
        target.abort();
    }

    private static String answerOf(ResponseHead head) {
        String answer = head.headers().get("spanrill-answer");
        return answer == null ? "none" : answer;
    }

    private void onAnswerTimeout() {
        if (awaitingAnswer) {
            awaitingAnswer = false;
            context.recorder().record(new TraceEvent.RequestTimedOut(now(), requestNumber));
            connection.abort();
            depart("no answer");
        }
    }

    private void leaveBeforeAnswer() {
        if (awaitingAnswer) {
            awaitingAnswer = false;
            answerTimeout.cancel(false);
            context.recorder().record(new TraceEvent.RequestAborted(now(), requestNumber, true));
            connection.abort();
            depart("left");
        }
    }

    private void onAnswer(ResponseHead head, ResponseReader reader, double requestedAt) {
        if (!awaitingAnswer) {
            return;
        }
        awaitingAnswer = false;
        answerTimeout.cancel(false);
        if (head == null) {
            context.recorder().record(new TraceEvent.RequestAborted(now(), requestNumber, false));
            stats.connectionsLost.increment();
            // Whether the token was spent is unknown, so a viewer with a paid token does not retry at another front.
            perform(
                    player.onConnectionLost(
                            now(),
                            !context.day().classes().get(traits.serviceClass()).once()),
                    "front lost");
            return;
        }
        String answer = answerOf(head);
        stats.count(answer);
        switch (answer) {
            case "plays" -> {
                stats.setUpMicros.recordValue((long) Math.max(1, (now() - requestedAt) * 1000));
                startPlaying(reader.text());
                if (traits.replaysToken()) {
                    connect(second -> sendRequest(second, false), () -> {});
                }
            }
            case "refused" -> {
                connection.abort();
                perform(player.onRefused(now(), retryAfterMs(head)), "refused");
            }
            default -> {
                connection.abort();
                depart(answer.equals("failed") ? "failed" : "not taken");
            }
        }
    }

    private static double retryAfterMs(ResponseHead head) {
        String seconds = head.headers().get("retry-after");
        return seconds != null && seconds.matches("\\d{1,6}") ? Integer.parseInt(seconds) * 1000.0 : 0;
    }

    // ---- playing

    private void startPlaying(String mpdText) {
        try {
            mpd = MpdParser.parse(mpdText);
            List<MpdValidator.Finding> findings = MpdValidator.check(mpdText);
            if (!findings.isEmpty()) {
                throw new IllegalStateException("MPD of a front violates the DASH standard: " + findings);
            }
        } catch (InvalidMpdException fault) {
            throw new IllegalStateException("MPD of a front is malformed: " + fault.getMessage());
        }
        long audio =
                mpd.audio() == null ? 0 : mpd.audio().representations().get(0).bandwidth();
        List<Long> ladder = mpd.videoRepresentations().stream()
                .map(representation -> representation.bandwidth() + audio)
                .toList();
        Action first = player.onPlaying(now(), ladder, mpd.nominalSegmentMs(), mpd.segmentCount());
        if (!ResponseReader.get(
                connection, mpd.baseUrl() + "v/init.mp4", new ResponseReader(false, () -> {}, (head, reader) -> {
                    if (head != null && head.status() == 200) {
                        perform(first, "watched");
                    } else {
                        onSessionLost(head);
                    }
                }))) {
            onSessionLost(null);
        }
    }

    private void fetchSegment(Action.Fetch fetch) {
        player.onFetchStarted(now());
        Mpd.Representation rung = mpd.videoRepresentations().get(fetch.rung());
        ResponseReader reader =
                new ResponseReader(false, () -> {}, (head, response) -> onVideoSegment(head, response, fetch.number()));
        reader.countBytesIn(receivedBytes);
        awaitingSegment = true;
        if (!ResponseReader.get(connection, mpd.baseUrl() + mpd.video().segmentPath(rung, fetch.number()), reader)) {
            awaitingSegment = false;
            onSessionLost(null);
            return;
        }
        if (traits.neverReads()) {
            connection.setAutoRead(false);
            return;
        }
        schedulePatienceCheck(reader);
    }

    /** Checks at intervals whether the viewer still waits for the segment in progress. */
    private void schedulePatienceCheck(ResponseReader reader) {
        schedule(PATIENCE_CHECK_MS, () -> {
            if (!awaitingSegment || reader.isDone()) {
                return;
            }
            Action next = player.checkPatience(now());
            if (next == null) {
                schedulePatienceCheck(reader);
            } else {
                reader.suppressCallbacks();
                awaitingSegment = false;
                connection.abort();
                stats.sessionsAbandoned.increment();
                abandonSession();
            }
        });
    }

    /** Handles the end of a video segment: requests its audio segment when the MPD has audio. */
    private void onVideoSegment(ResponseHead head, ResponseReader reader, int number) {
        Mpd.AdaptationSet audio = mpd.audio();
        if (head == null || head.status() != 200 || audio == null) {
            onSegment(head, reader.bytes(), number);
            return;
        }
        ResponseReader audioReader = new ResponseReader(
                false,
                () -> {},
                (audioHead, audioResponse) -> onSegment(
                        audioHead == null || audioHead.status() != 200 ? audioHead : head,
                        reader.bytes() + audioResponse.bytes(),
                        number));
        audioReader.countBytesIn(receivedBytes);
        String path = mpd.baseUrl() + audio.segmentPath(audio.representations().get(0), number);
        if (ResponseReader.get(connection, path, audioReader)) {
            schedulePatienceCheck(audioReader);
        } else {
            awaitingSegment = false;
            onSessionLost(null);
        }
    }

    private void onSegment(ResponseHead head, long bytes, int number) {
        awaitingSegment = false;
        if (head == null || head.status() != 200) {
            onSessionLost(head);
            return;
        }
        String rung = head.headers().get("spanrill-rung");
        int served = rung != null && rung.matches("\\d{1,3}") ? Integer.parseInt(rung) : -1;
        double now = now();
        context.recorder().record(new TraceEvent.SegmentReceived(now, tokenId, front, served, bytes, 0));
        stats.segments.increment();
        stats.mediaBytes.add(bytes);
        stats.rungSum.add(Math.max(0, served));
        // Bytes are scaled by the day, bandwidths in the MPD are not.
        perform(
                player.onSegmentReceived(
                        now,
                        bytes * 8 / context.day().byteScale(),
                        mpd.video().timeline().segmentLengthMs(number)),
                "watched");
    }

    private void endSession(boolean lostPatience) {
        (lostPatience ? stats.sessionsAbandoned : stats.sessionsFinished).increment();
        String target = mpd.baseUrl().substring(0, mpd.baseUrl().length() - 1);
        if (!connection.send(
                "DELETE",
                target,
                Headers.of("host", "front"),
                new byte[0],
                new ResponseReader(false, () -> {}, (head, reader) -> connection.abort()))) {
            connection.abort();
        }
        if (lostPatience) {
            abandonSession();
        } else {
            depart("watched");
        }
    }

    private void abandonSession() {
        context.recorder().record(new TraceEvent.SessionBroken(now(), tokenId, front, -1, null));
        renewToken();
        perform(player.onGaveUp(now()), "too slow");
    }

    /** Handles the loss of the session; the head is null when the connection was lost. */
    private void onSessionLost(ResponseHead head) {
        context.recorder()
                .record(new TraceEvent.SessionBroken(
                        now(),
                        tokenId,
                        front,
                        head == null ? 0 : head.status(),
                        head == null ? null : head.headers().get("spanrill-over")));
        connection.abort();
        perform(player.onConnectionLost(now(), true), "broken");
    }
}
