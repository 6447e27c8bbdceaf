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

/** Records of a run: kept in memory, in a file of a JSON object a line, or both. Safe from any thread. */
public final class EventRecorder implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ObjectWriter WRITER = JSON.writerFor(TraceEvent.class);
    private static final int MOST_LINE = 1 << 20;

    private final long origin = System.nanoTime();
    private final List<TraceEvent> events = new ArrayList<>();
    private final BufferedWriter file;

    /** Records in memory and, unless the file is null, in the file. */
    public EventRecorder(Path path) throws IOException {
        file = path == null ? null : Files.newBufferedWriter(path, StandardCharsets.UTF_8);
    }

    /** The clock of the records. */
    public double nowMs() {
        return (System.nanoTime() - origin) / 1e6;
    }

    /** Records. */
    public synchronized void record(TraceEvent event) {
        events.add(event);
        if (file != null) {
            try {
                file.write(WRITER.writeValueAsString(event));
                file.newLine();
            } catch (IOException e) {
                throw new UncheckedIOException("a tap can't be written", e);
            }
        }
    }

    /** All records so far. */
    public synchronized List<TraceEvent> events() {
        return new ArrayList<>(events);
    }

    /** Writes what is left. */
    @Override
    public synchronized void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }

    /**
     * Reads the records of a file.
     *
     * @throws IOException with file, line and reason when one can't be read
     */
    public static List<TraceEvent> read(Path path) throws IOException {
        List<TraceEvent> read = new ArrayList<>();
        int number = 0;
        try (BufferedReader in = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                number++;
                if (line.isBlank()) {
                    continue;
                }
                if (line.length() > MOST_LINE) {
                    throw new IOException(path + ":" + number + ": a line of more than " + MOST_LINE + " characters");
                }
                TraceEvent event = JSON.readValue(line, TraceEvent.class);
                if (event == null) {
                    throw new IOException(path + ":" + number + ": is no record");
                }
                read.add(event);
            }
        } catch (JsonProcessingException e) {
            throw new IOException(path + ":" + number + ": is no record: "
                    + e.getOriginalMessage().split("\\R")[0]);
        } catch (MalformedInputException e) {
            throw new IOException(path + ":" + (number + 1) + ": is no UTF-8 text");
        } catch (NoSuchFileException e) {
            throw new IOException(path + ": there is no such file");
        }
        return read;
    }
}
