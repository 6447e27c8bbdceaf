package spanrill.node;

import java.io.PrintStream;
import spanrill.session.EventSink;

/** One line an event on a stream, so many a second at most: a log must not cost the service its time. */
final class LineLog implements EventSink {
    private static final int MOST_A_SECOND = 50;

    private final PrintStream out;
    private long second;
    private int lines;

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
        long now = System.nanoTime() / 1_000_000_000;
        lines = now == second ? lines + 1 : 0;
        second = now;
        if (lines >= MOST_A_SECOND) {
            return;
        }
        StringBuilder line = new StringBuilder(event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
        }
        if (cause != null) {
            StackTraceElement[] trace = cause.getStackTrace();
            line.append(" cause=").append(cause);
            for (int i = 0; i < Math.min(6, trace.length); i++) {
                line.append(" at ").append(trace[i]);
            }
        }
        out.println(line);
    }
}
