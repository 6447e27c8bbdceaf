package spanrill.results;

import com.jerolba.carpet.CarpetReader;
import com.jerolba.carpet.CarpetWriter;
import com.jerolba.carpet.io.FileSystemOutputFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Writes rows of one kind to a Parquet file, on a thread of its own so that the loops never wait for a
 * disk. At
 * most {@value #WAITING} rows wait; those beyond are dropped and counted.
 */
public final class ParquetRows<T extends Record> implements AutoCloseable {
    /** Rows that may wait. */
    public static final int WAITING = 200_000;

    private final BlockingQueue<T> queue = new ArrayBlockingQueue<>(WAITING);
    private final Thread thread;
    private volatile boolean closing;
    private volatile IOException fault;
    private volatile long dropped;

    /** Writes to a file. */
    public ParquetRows(Path file, Class<T> kind) {
        thread = new Thread(() -> write(file, kind), "rows-" + file.getFileName());
        thread.setDaemon(true);
        thread.start();
    }

    private void write(Path file, Class<T> kind) {
        try (CarpetWriter<T> writer = new CarpetWriter<>(new FileSystemOutputFile(file.toFile()), kind)) {
            while (!closing || !queue.isEmpty()) {
                T row = queue.poll(50, TimeUnit.MILLISECONDS);
                if (row != null) {
                    writer.write(row);
                }
            }
        } catch (IOException e) {
            fault = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Adds a row. */
    public void add(T row) {
        if (!queue.offer(row)) {
            dropped++;
        }
    }

    /** Rows that were dropped. */
    public long dropped() {
        return dropped;
    }

    /** Writes what is left. */
    @Override
    public void close() throws IOException {
        closing = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (fault != null) {
            throw fault;
        }
    }

    /**
     * Reads the rows of a file.
     *
     * @throws IOException with the reason when it is no such file
     */
    public static <T extends Record> List<T> read(Path file, Class<T> kind) throws IOException {
        if (!Files.isRegularFile(file)) {
            throw new IOException(file + ": there is no such file");
        }
        try {
            return new CarpetReader<>(file.toFile(), kind).toList();
        } catch (RuntimeException e) {
            throw new IOException(
                    file + ": is no Parquet file of " + kind.getSimpleName() + ": "
                            + String.valueOf(e.getMessage()).split("\\R")[0],
                    e);
        }
    }
}
