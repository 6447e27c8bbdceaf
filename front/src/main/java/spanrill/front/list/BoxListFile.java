package spanrill.front.list;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * File with the last whole box list. A new list is written to a temporary file, which then replaces the old file, so
 * that a kill of the process leaves either the old or the new list.
 */
public final class BoxListFile {
    private static final long MAX_BYTES = 16 << 20;
    private final Path file;

    /** Uses the file {@code boxes.json} in this folder. */
    public BoxListFile(Path folder) {
        file = folder.resolve("boxes.json");
    }

    /** Replaces the stored list. */
    public void write(byte[] json) throws IOException {
        Files.createDirectories(file.getParent());
        Path temporary = file.resolveSibling("boxes.json.new");
        Files.write(temporary, json);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Returns the stored list, or null when there is none. */
    public byte[] read() throws IOException {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new IOException(file + ": is larger than " + MAX_BYTES + " bytes");
            }
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        }
    }
}
