package spanrill.front.box;

import io.netty.buffer.ByteBuf;
import spanrill.wire.http.ResponseHead;

/** Where a viewer side gets a playing session's media from. All calls and callbacks on the front's loop. */
public interface SegmentSource {
    /** Takes a segment as it comes. */
    interface SegmentSink {
        /** Its head; the status is a success. */
        void onHead(ResponseHead head);

        /** Part of it; lent for the call. */
        void onData(ByteBuf part);

        /** It is complete. */
        void onEnd();

        /** It was lost, or never began. */
        void onLost(int status, String reason);
    }

    /** A segment under way. */
    interface SegmentTransfer {
        /** Reads on or holds back. */
        void setReading(boolean on);

        /** Gives it up; its sink hears no more. */
        void cancel();
    }

    /** Fetches a segment of a session: {@code path} is what follows the attempt's prefix. */
    SegmentSource.SegmentTransfer fetch(String box, String key, String path, String range, SegmentSink sink);
}
