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
 * A driver of real boxes on sockets that does whatever a front must not, so that the checker is seen to
 * catch it.
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

    final EventRecorder tap = new EventRecorder(null);
    final ReceivedBytes receipts = new ReceivedBytes();
    final BoxFleet fleet;
    final EventLoop loop;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private long asks;

    FaultyFront() throws Exception {
        this(null);
    }

    FaultyFront(ParquetRows<SecondRow> rows) throws Exception {
        loop = group.next();
        tap.record(new TraceEvent.RunParameters(
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
        fleet = new BoxFleet(DAY, 1, loop, tap, receipts, rows);
        fleet.open();
    }

    /** A viewer asks, as far as the records go. */
    long ask(String token, String cls) {
        tap.record(new TraceEvent.Request(tap.nowMs(), ++asks, 0, token, cls, "title", 1000));
        return asks;
    }

    void answer(long ask, String answer) {
        tap.record(new TraceEvent.Answer(tap.nowMs(), ask, 200, answer));
    }

    /** A set-up over a socket; gives its status, or 0 when the connection was lost. */
    int setUp(int box, String token, int attempt, String cls, int rung) throws Exception {
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
                cls,
                BoxLink.TITLE,
                "title",
                BoxLink.RUNG,
                Integer.toString(rung),
                BoxLink.SPENDS,
                cls.equals("paid") ? "1" : "0");
        return call(box, "POST", BoxLink.SETUP_PATH, headers);
    }

    int call(int box, String method, String target, Headers headers) throws Exception {
        CompletableFuture<Integer> done = new CompletableFuture<>();
        StandinBox to = fleet.boxes().get(box);
        HttpClientConnection.open(
                loop,
                new InetSocketAddress("127.0.0.1", to.port()),
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
                                done.complete(status);
                            }

                            @Override
                            public void onFailure(HttpClientConnection.Failure loss, String reason) {
                                done.complete(0);
                            }
                        }),
                cause -> done.complete(0));
        return done.get(5, TimeUnit.SECONDS);
    }

    void on(Runnable action) throws Exception {
        loop.submit(action).get(5, TimeUnit.SECONDS);
    }

    /** The rules that the checker finds broken. */
    List<Integer> broken() {
        tap.record(new TraceEvent.BoxStopped(tap.nowMs() + 10_000, "nowhere", "end"));
        return RuleChecker.evaluate(tap.events()).stream()
                .filter(v -> !v.passed())
                .map(Verdict::rule)
                .toList();
    }

    @Override
    public void close() throws java.io.IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5, TimeUnit.SECONDS);
        tap.close();
    }
}
