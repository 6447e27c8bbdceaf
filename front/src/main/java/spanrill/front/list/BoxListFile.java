package spanrill.front.list;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * The last whole list in a file: written beside it and renamed, so that a kill leaves the old or the new
 * one.
 */
public final class BoxListFile {
    private static final long MOST_BYTES = 16 << 20;
    private final Path file;

    /** Kept in this folder. */
    public BoxListFile(Path folder) {
        file = folder.resolve("boxes.json");
    }

    /** Keeps a list. */
    public void write(byte[] json) throws IOException {
        Files.createDirectories(file.getParent());
        Path beside = file.resolveSibling("boxes.json.new");
        Files.write(beside, json);
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** The list kept, or null. */
    public byte[] read() throws IOException {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new IOException(file + ": is larger than " + MOST_BYTES + " bytes");
            }
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        }
    }
}
