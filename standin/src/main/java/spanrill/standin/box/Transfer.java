package spanrill.standin.box;

import spanrill.wire.http.Exchange;

/** A segment on its way out, at the rate that the links leave its session. */
final class Transfer {
    final Exchange exchange;
    final BoxSession session;
    final String segment;
    private final double boost;
    private long next;
    private long left;
    private double allowance;

    Transfer(Exchange exchange, BoxSession session, String segment, long from, long bytes, double boost) {
        this.exchange = exchange;
        this.session = session;
        this.segment = segment;
        this.boost = boost;
        next = from;
        left = bytes;
    }

    /** Writes what is due; true when it is done. */
    boolean advance(double bytesPerMs, double ms) {
        if (exchange.over()) {
            return true;
        }
        // What the reader didn't take is not saved up beyond a moment: a link can't give it later.
        allowance = Math.min(allowance + bytesPerMs * boost * ms, bytesPerMs * boost * 200 + 1);
        while (left > 0 && allowance >= 1 && exchange.writable()) {
            int bytes = (int) Math.min(Math.min(left, 64 * 1024), allowance);
            exchange.write(Media.part(segment, next, bytes));
            next += bytes;
            left -= bytes;
            allowance -= bytes;
        }
        if (left == 0) {
            exchange.end();
            return true;
        }
        return false;
    }
}
