package spanrill.front.box;

import io.netty.buffer.ByteBuf;
import spanrill.decisions.OutcomeTable;
import spanrill.wire.box.BoxLink;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.ResponseHead;

/** Transfer of one segment from a box. The body is passed on as it arrives and is not buffered. */
final class SegmentFetch
        implements SegmentSource.SegmentTransfer, BoxConnectionPool.ConnectionRequest, HttpClientConnection.Listener {
    private static final byte[] NO_BODY = {};

    private final HttpBoxClient boxClient;
    private final BoxConnectionPool pool;
    private final String target;
    private final String range;
    private final SegmentSource.SegmentSink sink;
    private HttpClientConnection connection;
    private int refusedStatus;
    private boolean finished;

    SegmentFetch(
            HttpBoxClient boxClient,
            BoxConnectionPool pool,
            String key,
            String path,
            String range,
            SegmentSource.SegmentSink sink) {
        this.boxClient = boxClient;
        this.pool = pool;
        this.target = BoxLink.ATTEMPT_PATH_PREFIX + key + "/" + path;
        this.range = range;
        this.sink = sink;
    }

    /** Sends the segment request. Returns false, without use of the connection, if the fetch has already ended. */
    @Override
    public boolean onConnection(HttpClientConnection acquired) {
        if (finished) {
            return false;
        }
        connection = acquired;
        Headers headers = boxClient.frontHeaders();
        if (range != null) {
            headers.add("range", range);
        }
        if (!connection.send("GET", target, headers, NO_BODY, this)) {
            onFailure(0, "the connection to the box is closed");
        }
        return true;
    }

    @Override
    public void onUnavailable(OutcomeTable.Event reason) {
        onFailure(0, reason.toString());
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
        if (!finished && refusedStatus == 0) {
            sink.onData(part);
        }
    }

    @Override
    public void onEnd() {
        pool.release(connection);
        if (refusedStatus != 0) {
            onFailure(refusedStatus, "the box answered " + refusedStatus);
        } else if (!finished) {
            finished = true;
            sink.onEnd();
        }
    }

    @Override
    public void onFailure(HttpClientConnection.Failure failure, String reason) {
        onFailure(0, reason);
    }

    private void onFailure(int status, String reason) {
        if (!finished) {
            finished = true;
            sink.onLost(status, reason);
        }
    }

    @Override
    public void setReading(boolean enabled) {
        if (connection != null && !finished) {
            connection.setAutoRead(enabled);
        }
    }

    @Override
    public void cancel() {
        if (!finished) {
            finished = true;
            if (connection != null) {
                connection.abort();
            }
        }
    }
}
