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
 * Writes rows of one type to a Parquet file, on a separate thread so that event loops never wait for the disk. At most
 * {@value #MAX_QUEUED_ROWS} rows are queued; further rows are dropped and counted.
 */
public final class ParquetRows<T extends Record> implements AutoCloseable {
    /** Maximum number of queued rows. */
    public static final int MAX_QUEUED_ROWS = 200_000;

    private final BlockingQueue<T> queue = new ArrayBlockingQueue<>(MAX_QUEUED_ROWS);
    private final Thread thread;
    private volatile boolean closing;
    private volatile IOException failure;
    private volatile long dropped;

    /** Starts the thread that writes the file. */
    public ParquetRows(Path file, Class<T> rowType) {
        thread = new Thread(() -> write(file, rowType), "rows-" + file.getFileName());
        thread.setDaemon(true);
        thread.start();
    }

    private void write(Path file, Class<T> rowType) {
        try (CarpetWriter<T> writer = new CarpetWriter<>(new FileSystemOutputFile(file.toFile()), rowType)) {
            while (!closing || !queue.isEmpty()) {
                T row = queue.poll(50, TimeUnit.MILLISECONDS);
                if (row != null) {
                    writer.write(row);
                }
            }
        } catch (IOException e) {
            failure = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Queues a row, or drops and counts it when the queue is full. */
    public void add(T row) {
        if (!queue.offer(row)) {
            dropped++;
        }
    }

    /** Number of rows dropped because the queue was full. */
    public long dropped() {
        return dropped;
    }

    /**
     * Writes the queued rows and closes the file.
     *
     * @throws IOException when the file could not be written
     */
    @Override
    public void close() throws IOException {
        closing = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (failure != null) {
            throw failure;
        }
    }

    /**
     * Reads the rows of a file.
     *
     * @throws IOException when the file does not exist or is not a Parquet file of this row type
     */
    public static <T extends Record> List<T> read(Path file, Class<T> rowType) throws IOException {
        if (!Files.isRegularFile(file)) {
            throw new IOException(file + ": there is no such file");
        }
        try {
            return new CarpetReader<>(file.toFile(), rowType).toList();
        } catch (RuntimeException e) {
            throw new IOException(
                    file + ": is no Parquet file of " + rowType.getSimpleName() + ": "
                            + String.valueOf(e.getMessage()).split("\\R")[0],
                    e);
        }
    }
}
