package spanrill.front.box;

import io.netty.buffer.ByteBuf;
import spanrill.decisions.OutcomeTable;
import spanrill.wire.box.BoxLink;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.ResponseHead;

/** One segment on its way from a box; held back, never kept. */
final class SegmentFetch
        implements spanrill.front.box.SegmentSource.SegmentTransfer,
                spanrill.front.box.BoxConnectionPool.ConnectionRequest,
                HttpClientConnection.Listener {
    private static final byte[] NO_BODY = {};

    private final HttpBoxClient side;
    private final BoxConnectionPool pool;
    private final String target;
    private final String range;
    private final SegmentSource.SegmentSink sink;
    private HttpClientConnection connection;
    private int refusedStatus;
    private boolean over;

    SegmentFetch(
            HttpBoxClient side,
            BoxConnectionPool pool,
            String key,
            String path,
            String range,
            SegmentSource.SegmentSink sink) {
        this.side = side;
        this.pool = pool;
        this.target = BoxLink.ATTEMPT_PATH_PREFIX + key + "/" + path;
        this.range = range;
        this.sink = sink;
    }

    @Override
    public boolean onConnection(HttpClientConnection given) {
        if (over) {
            return false;
        }
        connection = given;
        Headers headers = side.frontHeaders();
        if (range != null) {
            headers.add("range", range);
        }
        if (!connection.send("GET", target, headers, NO_BODY, this)) {
            onFailure(0, "the connection ended");
        }
        return true;
    }

    @Override
    public void onUnavailable(OutcomeTable.Event why) {
        onFailure(0, why.toString());
    }

    @Override
    public void onHead(ResponseHead head) {
        if (head.status() == 200 || head.status() == 206) {
            sink.onHead(head);
        } else {
            refusedStatus = head.status();
        }
    }

    @Override
    public void onData(ByteBuf part) {
        if (!over && refusedStatus == 0) {
            sink.onData(part);
        }
    }

    @Override
    public void onEnd() {
        pool.release(connection);
        if (refusedStatus != 0) {
            onFailure(refusedStatus, "the box answered " + refusedStatus);
        } else if (!over) {
            over = true;
            sink.onEnd();
        }
    }

    @Override
    public void onFailure(HttpClientConnection.Failure loss, String reason) {
        onFailure(0, reason);
    }

    private void onFailure(int status, String reason) {
        if (!over) {
            over = true;
            sink.onLost(status, reason);
        }
    }

    @Override
    public void setReading(boolean on) {
        if (connection != null && !over) {
            connection.setAutoRead(on);
        }
    }

    @Override
    public void cancel() {
        if (!over) {
            over = true;
            if (connection != null) {
                connection.abort();
            }
        }
    }
}
