package spanrill.front.box;

import io.netty.buffer.ByteBuf;
import spanrill.wire.http.ResponseHead;

/** Fetches the media of playing sessions. All calls and callbacks run on the event loop. */
public interface SegmentSource {
    /** Receives a segment. */
    interface SegmentSink {
        /** Receives the response head; its status is 200 or 206. */
        void onHead(ResponseHead head);

        /** Receives a part of the body. The buffer is valid during the call only, unless it is retained. */
        void onData(ByteBuf part);

        /** Called when the segment is complete. */
        void onEnd();

        /** Called when the transfer failed; {@code status} is the status of the box, 0 when there was no answer. */
        void onLost(int status, String reason);
    }

    /** A transfer in progress. */
    interface SegmentTransfer {
        /** Resumes or pauses reading from the box. */
        void setReading(boolean enabled);

        /** Cancels the transfer; the sink is not called again. */
        void cancel();
    }

    /**
     * Starts the transfer of a segment.
     *
     * @param box id of the box
     * @param key key of the session's attempt
     * @param path path of the segment below the attempt's path
     * @param range value of the Range header field, or null
     */
    SegmentTransfer fetch(String box, String key, String path, String range, SegmentSink sink);
}
