package spanrill.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import sjsonnet.Importer;
import sjsonnet.OsPath;
import sjsonnet.ResolvedFile;
import sjsonnet.StaticResolvedFile;

/** Finds what a Jsonnet file imports beside that file, within a size. */
final class FolderImporter extends Importer {
    private static final long MOST_BYTES = 1 << 20;

    static OsPath wrap(Path path) {
        return new OsPath(os.Path$.MODULE$.apply(path, os.PathConvertible.NioPathConvertible$.MODULE$));
    }

    private static Path unwrap(sjsonnet.Path path) {
        return ((OsPath) path).p().toNIO();
    }

    @Override
    public scala.Option<sjsonnet.Path> resolve(sjsonnet.Path folder, String name) {
        Path file = unwrap(folder).resolve(name).normalize();
        return Files.isRegularFile(file) ? scala.Option.apply(wrap(file)) : scala.Option.empty();
    }

    @Override
    public scala.Option<ResolvedFile> read(sjsonnet.Path path) {
        try {
            Path file = unwrap(path);
            return Files.size(file) > MOST_BYTES
                    ? scala.Option.empty()
                    : scala.Option.apply(new StaticResolvedFile(Files.readString(file, StandardCharsets.UTF_8)));
        } catch (IOException e) {
            return scala.Option.empty();
        }
    }
}
