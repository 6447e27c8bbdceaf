package spanrill.node;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import spanrill.session.EventSink;

/**
 * Writes each event that the node receives and each action it takes to a file, one line each with the wall-clock
 * time in ms. Off unless the system property {@code spanrill.trace} names a folder. The number of lines is bounded
 * because the platform counts files as memory of the process.
 */
final class Trace implements EventSink {
    private static final long MAX_LINES = 2_000_000;

    private final PrintStream out;
    private long linesWritten;

    private Trace(PrintStream out) {
        this.out = out;
    }

    /**
     * Opens the trace file of the node in the folder of {@code spanrill.trace}, or returns a sink that drops events.
     */
    static EventSink open(String nodeName) throws IOException {
        String folder = System.getProperty("spanrill.trace");
        if (folder == null || folder.isEmpty()) {
            return EventSink.none();
        }
        return new Trace(new PrintStream(
                Files.newOutputStream(Path.of(folder, nodeName + "-" + System.currentTimeMillis() + ".trace")),
                true,
                StandardCharsets.UTF_8));
    }

    @Override
    public void info(String event, Object... fields) {
        if (linesWritten++ < MAX_LINES) {
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
