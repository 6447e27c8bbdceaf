package spanrill.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import sjsonnet.Importer;
import sjsonnet.OsPath;
import sjsonnet.ResolvedFile;
import sjsonnet.StaticResolvedFile;

/** Resolves Jsonnet imports relative to the folder of the importing file, and limits the size of an imported file. */
final class FolderImporter extends Importer {
    private static final long MAX_FILE_BYTES = 1 << 20;

    static OsPath toOsPath(Path path) {
        return new OsPath(os.Path$.MODULE$.apply(path, os.PathConvertible.NioPathConvertible$.MODULE$));
    }

    private static Path toNioPath(sjsonnet.Path path) {
        return ((OsPath) path).p().toNIO();
    }

    @Override
    public scala.Option<sjsonnet.Path> resolve(sjsonnet.Path folder, String name) {
        Path file = toNioPath(folder).resolve(name).normalize();
        return Files.isRegularFile(file) ? scala.Option.apply(toOsPath(file)) : scala.Option.empty();
    }

    @Override
    public scala.Option<ResolvedFile> read(sjsonnet.Path path) {
        try {
            Path file = toNioPath(path);
            return Files.size(file) > MAX_FILE_BYTES
                    ? scala.Option.empty()
                    : scala.Option.apply(new StaticResolvedFile(Files.readString(file, StandardCharsets.UTF_8)));
        } catch (IOException e) {
            return scala.Option.empty();
        }
    }
}
