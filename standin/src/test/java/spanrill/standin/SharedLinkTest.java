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

/** Guards against boxes that send sessions more or fewer bytes than their share of a congested link. */
@Timeout(60)
class SharedLinkTest {
    private static final int SESSIONS = 40;

    /** Requests the segments of a session one after the other. */
    private static final class Reader implements HttpClientConnection.Listener {
        private final String key;
        private final LongAdder receivedBytes;
        private HttpClientConnection connection;
        private int number;

        Reader(String key, LongAdder receivedBytes) {
            this.key = key;
            this.receivedBytes = receivedBytes;
        }

        void requestNext() {
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
            receivedBytes.add(part.readableBytes());
        }

        @Override
        public void onEnd() {
            requestNext();
        }

        @Override
        public void onFailure(HttpClientConnection.Failure loss, String reason) {}
    }

    @Test
    void sessionsGetEqualSharesWhenLinkOrUplinkIsCongested(@TempDir Path folder) throws Exception {
        Path rowsFile = folder.resolve("seconds.parquet");
        try (ParquetRows<SecondRow> rows = new ParquetRows<>(rowsFile, SecondRow.class);
                FaultyFront front = new FaultyFront(rows)) {
            for (int i = 0; i < SESSIONS; i++) {
                int box = i % 2;
                assertEquals(200, front.setUp(box, "t" + i, 1, "free", 2));
                Reader reader = new Reader("t" + i + ".1", front.receivedBytes.counter("t" + i));
                HttpClientConnection.open(
                        front.loop,
                        new InetSocketAddress(
                                "127.0.0.1", front.fleet.boxes().get(box).port()),
                        1000,
                        HttpLimits.CLIENT,
                        opened -> {
                            reader.connection = opened;
                            reader.requestNext();
                        },
                        cause -> {});
            }
            // 20 sessions of 6 kB/s on each link of 500 kB/s: first the link of box 0 is too small, then only the
            // uplink.
            front.runOnLoop(() -> front.fleet.setLinkShare(0, 0.1));
            waitSeconds(front, 4);
            front.runOnLoop(() -> {
                front.fleet.setLinkShare(0, 1);
                front.fleet.setUplinkShare(0, 0.08);
            });
            waitSeconds(front, 4);
        }
        List<SecondRow> rows = ParquetRows.read(rowsFile, SecondRow.class);
        ShareCheck.Result result = ShareCheck.check(rows);
        assertTrue(result.passed(), result.toString());
        assertTrue(result.receivedVsRule().count() > 100, result.toString());
    }

    private static void waitSeconds(FaultyFront front, int seconds) throws Exception {
        front.loop.schedule(() -> {}, seconds, TimeUnit.SECONDS).get(seconds + 5, TimeUnit.SECONDS);
    }
}
