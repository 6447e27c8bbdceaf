package spanrill.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import spanrill.results.ParquetRows;
import spanrill.results.SecondRow;
import spanrill.results.ShareCheck;
import spanrill.wire.box.BoxLink;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;
import spanrill.wire.http.ResponseHead;

/** Real bytes on sockets, shaped by the model's shares. */
@Timeout(60)
class SharedLinkTest {
    private static final int SESSIONS = 40;

    /** Reads one segment after the other. */
    private static final class Reader implements HttpClientConnection.Listener {
        private final String key;
        private final LongAdder bytes;
        private HttpClientConnection connection;
        private int number;

        Reader(String key, LongAdder bytes) {
            this.key = key;
            this.bytes = bytes;
        }

        void next() {
            number++;
            connection.send(
                    "GET",
                    BoxLink.ATTEMPT_PATH_PREFIX + key + "/2/" + number + ".m4s",
                    Headers.of("host", "box", BoxLink.ZONE, "a"),
                    new byte[0],
                    this);
        }

        @Override
        public void onHead(ResponseHead head) {}

        @Override
        public void onData(ByteBuf part) {
            bytes.add(part.readableBytes());
        }

        @Override
        public void onEnd() {
            next();
        }

        @Override
        public void onFailure(HttpClientConnection.Failure loss, String reason) {}
    }

    @Test
    void fortySessionsShareALinkThatDropsToAQuarterAndAnUplinkThatIsShort(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("seconds.parquet");
        try (ParquetRows<SecondRow> rows = new ParquetRows<>(file, SecondRow.class);
                FaultyFront front = new FaultyFront(rows)) {
            for (int i = 0; i < SESSIONS; i++) {
                int box = i % 2;
                assertEquals(200, front.setUp(box, "t" + i, 1, "free", 2));
                Reader reader = new Reader("t" + i + ".1", front.receipts.counter("t" + i));
                HttpClientConnection.open(
                        front.loop,
                        new InetSocketAddress(
                                "127.0.0.1", front.fleet.boxes().get(box).port()),
                        1000,
                        HttpLimits.CLIENT,
                        opened -> {
                            reader.connection = opened;
                            reader.next();
                        },
                        cause -> {});
            }
            // 20 x 6 kB/s on each box of 500: a link of a sixth is short; then the uplink alone.
            front.on(() -> front.fleet.setLinkShare(0, 0.1));
            seconds(front, 4);
            front.on(() -> {
                front.fleet.setLinkShare(0, 1);
                front.fleet.setUplinkShare(0, 0.08);
            });
            seconds(front, 4);
        }
        List<SecondRow> rows = ParquetRows.read(file, SecondRow.class);
        ShareCheck.Result result = ShareCheck.check(rows);
        assertTrue(result.passed(), result.toString());
        assertTrue(result.receivedVsRule().count() > 100, result.toString());
    }

    private static void seconds(FaultyFront front, int seconds) throws Exception {
        front.loop.schedule(() -> {}, seconds, TimeUnit.SECONDS).get(seconds + 5, TimeUnit.SECONDS);
    }
}
