package spanrill.standin.box;

import spanrill.wire.http.Exchange;

/** A segment on its way out, as fast as its session's bucket lets it. */
final class SegmentTransfer {
    private static final int MOST_PART = 64 * 1024;

    final Exchange exchange;
    final BoxSession session;
    private final String segment;
    private long next;
    private long left;

    SegmentTransfer(Exchange exchange, BoxSession session, String segment, long from, long bytes) {
        this.exchange = exchange;
        this.session = session;
        this.segment = segment;
        next = from;
        left = bytes;
    }

    /** True when its reader took less than it might have had. */
    boolean isReaderLimited() {
        return left > 0 && session.bucket.availableBytes() > 0;
    }

    /** Writes what is due; true when it is done. */
    boolean sendGrantedBytes() {
        if (exchange.isEnded()) {
            return true;
        }
        while (left > 0 && session.bucket.availableBytes() > 0 && exchange.isWritable()) {
            int bytes = (int) Math.min(Math.min(left, MOST_PART), session.bucket.availableBytes());
            exchange.write(MediaBytes.slice(segment, next, bytes));
            next += bytes;
            left -= bytes;
            session.bucket.consume(bytes);
        }
        if (left == 0) {
            exchange.end();
            return true;
        }
        return false;
    }
}
