package spanrill.node;

import java.io.PrintStream;
import spanrill.session.EventSink;

/**
 * Writes events to a stream, one line each, which ends with the Unix time in ms. Lines above a limit per second are
 * dropped, to bound the cost of logging; the first line of a later second says how many.
 */
final class LineLog implements EventSink {
    private static final int MAX_LINES_PER_SECOND = 50;

    private final PrintStream out;
    private long currentSecond;
    private int linesThisSecond;
    private long linesDropped;

    LineLog(PrintStream out) {
        this.out = out;
    }

    @Override
    public void info(String event, Object... fields) {
        write(event, null, fields);
    }

    @Override
    public void error(String event, Throwable cause, Object... fields) {
        write(event, cause, fields);
    }

    private synchronized void write(String event, Throwable cause, Object... fields) {
        long nowS = System.nanoTime() / 1_000_000_000;
        linesThisSecond = nowS == currentSecond ? linesThisSecond + 1 : 0;
        currentSecond = nowS;
        if (linesThisSecond >= MAX_LINES_PER_SECOND) {
            linesDropped++;
            return;
        }
        if (linesDropped > 0) {
            out.println("log.dropped lines=" + linesDropped + " at=" + System.currentTimeMillis());
            linesDropped = 0;
        }
        StringBuilder line = new StringBuilder(event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
        }
        if (cause != null) {
            StackTraceElement[] stackTrace = cause.getStackTrace();
            line.append(" cause=").append(cause);
            for (int i = 0; i < Math.min(6, stackTrace.length); i++) {
                line.append(" at ").append(stackTrace[i]);
            }
        }
        out.println(line.append(" at=").append(System.currentTimeMillis()));
    }
}
