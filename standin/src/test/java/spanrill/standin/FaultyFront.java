package spanrill.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import spanrill.check.EventRecorder;
import spanrill.check.RuleChecker;
import spanrill.check.TraceEvent;
import spanrill.check.Verdict;
import spanrill.day.Day;
import spanrill.results.ParquetRows;
import spanrill.results.SecondRow;
import spanrill.standin.box.BoxFleet;
import spanrill.standin.box.ReceivedBytes;
import spanrill.standin.box.StandinBox;
import spanrill.wire.box.BoxLink;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;
import spanrill.wire.http.ResponseHead;

/**
 * Drives stand-in boxes over real connections the way a front does, and may violate the rules of a front, so that
 * tests can verify that the checker detects it.
 */
final class FaultyFront implements AutoCloseable {
    static final Day DAY = new Day(
            1,
            60_000,
            0,
            0.01,
            List.of("a"),
            1,
            new Day.Boxes(3, 1, 20, 50_000, 0, 1, 0, 5, 4000, 0.5),
            new Day.Titles(2, 0, List.of(1, 2), 60_000, 1000, List.of(), 0),
            Map.of(
                    "free",
                    new Day.DayClass(0.5, List.of(1000.0, 2000.0), 500, 1000, 1, false, 0, 4, 1, 0),
                    "paid",
                    new Day.DayClass(0.5, List.of(1000.0, 2000.0), 500, 1000, 3, true, 1, 4, 1, 0)),
            new Day.Ladder(List.of(200.0, 350.0, 600.0), List.of(0.3, 0.6, 1.0)),
            new Day.Notes(500, 1000, 6, 500),
            new Day.Rules(5, 2000, 0, 250, 2, 1000, 1.0, 0.0, 10_000.0),
            new Day.Arrivals(1, Day.Shape.STEADY, 0, 1000),
            List.of(),
            new Day.Distances(0, 0),
            new Day.Viewers(0, List.of(1.0, 2.0), 1, 0, 0, 0, 0, 0, List.of(1.0, 2.0), 0, 0, 0, 0),
            new Day.Registry(List.of(0.0, 0.0), List.of(0.0, 0.0)),
            List.of());

    final EventRecorder recorder = new EventRecorder(null);
    final ReceivedBytes receivedBytes = new ReceivedBytes();
    final BoxFleet fleet;
    final EventLoop loop;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private long requestCount;

    FaultyFront() throws Exception {
        this(null);
    }

    FaultyFront(ParquetRows<SecondRow> rows) throws Exception {
        loop = group.next();
        recorder.record(new TraceEvent.RunParameters(
                0,
                Map.of(
                        "free",
                        new TraceEvent.ClassParameters(false, 0, 0),
                        "paid",
                        new TraceEvent.ClassParameters(true, 1, 0)),
                20,
                250,
                4000,
                0.5,
                2,
                1000,
                1.0,
                0.0,
                10_000.0));
        fleet = new BoxFleet(DAY, 1, loop, recorder, receivedBytes, rows);
        fleet.open();
    }

    /** Records a viewer's request for a session and returns the number of the request. */
    long recordRequest(String token, String serviceClass) {
        recorder.record(
                new TraceEvent.Request(recorder.nowMs(), ++requestCount, 0, token, serviceClass, "title", 1000));
        return requestCount;
    }

    void recordAnswer(long requestNumber, String answer) {
        recorder.record(new TraceEvent.Answer(recorder.nowMs(), requestNumber, 200, answer));
    }

    /** Sends a set-up to a box; returns the status of the response, or 0 when the connection was lost. */
    int setUp(int box, String token, int attempt, String serviceClass, int rung) throws Exception {
        Headers headers = Headers.of(
                "host",
                "box",
                BoxLink.FRONT,
                "0",
                BoxLink.ZONE,
                "a",
                BoxLink.ATTEMPT_KEY,
                token + "." + attempt,
                BoxLink.TOKEN,
                token,
                BoxLink.CLASS,
                serviceClass,
                BoxLink.TITLE,
                "title",
                BoxLink.RUNG,
                Integer.toString(rung),
                BoxLink.SPENDS,
                serviceClass.equals("paid") ? "1" : "0");
        return call(box, "POST", BoxLink.SETUP_PATH, headers);
    }

    int call(int box, String method, String target, Headers headers) throws Exception {
        CompletableFuture<Integer> statusFuture = new CompletableFuture<>();
        StandinBox destination = fleet.boxes().get(box);
        HttpClientConnection.open(
                loop,
                new InetSocketAddress("127.0.0.1", destination.port()),
                1000,
                HttpLimits.CLIENT,
                connection ->
                        connection.send(method, target, headers, new byte[0], new HttpClientConnection.Listener() {
                            private int status;

                            @Override
                            public void onHead(ResponseHead head) {
                                status = head.status();
                            }

                            @Override
                            public void onData(ByteBuf part) {}

                            @Override
                            public void onEnd() {
                                connection.abort();
                                statusFuture.complete(status);
                            }

                            @Override
                            public void onFailure(HttpClientConnection.Failure loss, String reason) {
                                statusFuture.complete(0);
                            }
                        }),
                cause -> statusFuture.complete(0));
        return statusFuture.get(5, TimeUnit.SECONDS);
    }

    void runOnLoop(Runnable action) throws Exception {
        loop.submit(action).get(5, TimeUnit.SECONDS);
    }

    /** Returns the numbers of the rules that the checker finds violated. */
    List<Integer> violatedRules() {
        recorder.record(new TraceEvent.BoxStopped(recorder.nowMs() + 10_000, "nowhere", "end"));
        return RuleChecker.evaluate(recorder.events()).stream()
                .filter(verdict -> !verdict.passed())
                .map(Verdict::rule)
                .toList();
    }

    @Override
    public void close() throws java.io.IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5, TimeUnit.SECONDS);
        recorder.close();
    }
}
