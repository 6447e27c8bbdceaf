package spanrill.standin.box;

import spanrill.wire.http.Exchange;

/** A response with a segment in progress, sent no faster than the session's bucket allows. */
final class SegmentTransfer {
    private static final int MAX_WRITE_BYTES = 64 * 1024;

    final Exchange exchange;
    final BoxSession session;
    private final String segmentName;
    private long nextByte;
    private long remaining;

    SegmentTransfer(Exchange exchange, BoxSession session, String segmentName, long from, long length) {
        this.exchange = exchange;
        this.session = session;
        this.segmentName = segmentName;
        nextByte = from;
        remaining = length;
    }

    /** Returns true when the reader, not the link, limits the transfer: granted bytes remain unread. */
    boolean isReaderLimited() {
        return remaining > 0 && session.bucket.availableBytes() > 0;
    }

    /** Writes the bytes that the bucket grants; returns true when the transfer has ended. */
    boolean sendGrantedBytes() {
        if (exchange.isEnded()) {
            return true;
        }
        while (remaining > 0 && session.bucket.availableBytes() > 0 && exchange.isWritable()) {
            int bytes = (int) Math.min(Math.min(remaining, MAX_WRITE_BYTES), session.bucket.availableBytes());
            exchange.write(MediaBytes.slice(segmentName, nextByte, bytes));
            nextByte += bytes;
            remaining -= bytes;
            session.bucket.consume(bytes);
        }
        if (remaining == 0) {
            exchange.end();
            return true;
        }
        return false;
    }
}
