package spanrill.node;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import spanrill.session.EventSink;

/**
 * What the node was told and what it did, line by line with wall-clock times in ms. Off unless the system
 * property {@code spanrill.trace} names a folder; bounded, since the platform counts files as memory.
 */
final class Trace implements EventSink {
    private static final long MOST_LINES = 2_000_000;

    private final PrintStream out;
    private long lines;

    private Trace(PrintStream out) {
        this.out = out;
    }

    /** The trace that was asked for, or none. */
    static EventSink open(String name) throws IOException {
        String folder = System.getProperty("spanrill.trace");
        if (folder == null || folder.isEmpty()) {
            return EventSink.none();
        }
        return new Trace(new PrintStream(
                Files.newOutputStream(Path.of(folder, name + "-" + System.currentTimeMillis() + ".trace")),
                true,
                StandardCharsets.UTF_8));
    }

    @Override
    public void info(String event, Object... fields) {
        if (lines++ < MOST_LINES) {
            StringBuilder line = new StringBuilder();
            line.append(System.currentTimeMillis()).append(' ').append(event);
            for (int i = 0; i + 1 < fields.length; i += 2) {
                line.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
            }
            out.println(line);
        }
    }

    @Override
    public void error(String event, Throwable cause, Object... fields) {
        info(event + " cause=" + cause, fields);
    }
}
