package spanrill.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Collects the records of a run in memory and, if wanted, in a file with one JSON object per line. Thread-safe. */
public final class EventRecorder implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ObjectWriter WRITER = JSON.writerFor(TraceEvent.class);
    private static final int MAX_LINE_CHARS = 1 << 20;

    private final long originNanos = System.nanoTime();
    private final List<TraceEvent> events = new ArrayList<>();
    private final BufferedWriter file;

    /** Collects records in memory and, unless {@code path} is null, in the file. */
    public EventRecorder(Path path) throws IOException {
        file = path == null ? null : Files.newBufferedWriter(path, StandardCharsets.UTF_8);
    }

    /** Time of the records' clock, in ms since this recorder was created. */
    public double nowMs() {
        return (System.nanoTime() - originNanos) / 1e6;
    }

    /** Adds a record. */
    public synchronized void record(TraceEvent event) {
        events.add(event);
        if (file != null) {
            try {
                file.write(WRITER.writeValueAsString(event));
                file.newLine();
            } catch (IOException e) {
                throw new UncheckedIOException("a record cannot be written to the file", e);
            }
        }
    }

    /** Returns a copy of all records added so far. */
    public synchronized List<TraceEvent> events() {
        return new ArrayList<>(events);
    }

    /** Flushes and closes the file. */
    @Override
    public synchronized void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }

    /**
     * Reads the records of a file.
     *
     * @throws IOException naming the file, the line and the reason when a record cannot be read
     */
    public static List<TraceEvent> read(Path path) throws IOException {
        List<TraceEvent> events = new ArrayList<>();
        int lineNumber = 0;
        try (BufferedReader in = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                lineNumber++;
                if (line.isBlank()) {
                    continue;
                }
                if (line.length() > MAX_LINE_CHARS) {
                    throw new IOException(
                            path + ":" + lineNumber + ": line is longer than " + MAX_LINE_CHARS + " characters");
                }
                TraceEvent event = JSON.readValue(line, TraceEvent.class);
                if (event == null) {
                    throw new IOException(path + ":" + lineNumber + ": is no record: JSON null");
                }
                events.add(event);
            }
        } catch (JsonProcessingException e) {
            throw new IOException(path + ":" + lineNumber + ": is no record: "
                    + e.getOriginalMessage().split("\\R")[0]);
        } catch (MalformedInputException e) {
            throw new IOException(path + ":" + (lineNumber + 1) + ": is not valid UTF-8 text");
        } catch (NoSuchFileException e) {
            throw new IOException(path + ": there is no such file");
        }
        return events;
    }
}
