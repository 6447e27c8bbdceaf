package spanrill.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import sjsonnet.DefaultParseCache;
import sjsonnet.Interpreter;
import sjsonnet.OsPath;

/** Reads a settings file. */
public final class Settings {
    private static final long MOST_BYTES = 1 << 20;
    private static final ObjectMapper JSON = new ObjectMapper();

    private Settings() {}

    /**
     * Evaluates a Jsonnet file (imports are looked up beside it) and binds it.
     *
     * @throws SettingsException when it can't be read, is no Jsonnet or doesn't fit, with the place
     */
    public static <T> T read(Path file, Class<T> schema) throws SettingsException {
        String source;
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new SettingsException(file + ": is larger than " + MOST_BYTES + " bytes");
            }
            source = Files.readString(file, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            throw new SettingsException(file + ": there is no such file");
        } catch (IOException e) {
            throw new SettingsException(file + ": can't be read: " + e.getMessage());
        }
        return bind(file, source, evaluate(file, source), schema);
    }

    /** Evaluates a Jsonnet text to JSON; the file names its place for imports and messages. */
    static JsonNode evaluate(Path file, String source) throws SettingsException {
        Path absolute = file.toAbsolutePath().normalize();
        OsPath path = FolderImporter.wrap(absolute);
        OsPath folder = FolderImporter.wrap(absolute.getParent());
        scala.collection.immutable.Map<String, String> none = scala.collection.immutable.Map$.MODULE$.empty();
        scala.util.Either<String, ujson.Value> result;
        try {
            Interpreter interpreter = new Interpreter(
                    none,
                    none,
                    folder,
                    new FolderImporter(),
                    new DefaultParseCache(),
                    Interpreter.$lessinit$greater$default$6(),
                    Interpreter.$lessinit$greater$default$7(),
                    Interpreter.$lessinit$greater$default$8(),
                    Interpreter.$lessinit$greater$default$9());
            result = interpreter.interpret(source, path);
        } catch (StackOverflowError e) {
            throw new SettingsException(file + ": nests or recurses too deeply");
        }
        if (result.isLeft()) {
            String reason = result.left().toOption().get();
            throw new SettingsException(
                    file + ": " + reason.replaceAll("\\s*\\R\\s*", " ").trim());
        }
        try {
            return JSON.readTree(ujson.package$.MODULE$.write(result.toOption().get(), -1, false));
        } catch (JsonProcessingException e) {
            throw new SettingsException(file + ": gives no JSON: " + e.getOriginalMessage());
        }
    }

    private static <T> T bind(Path file, String source, JsonNode node, Class<T> schema) throws SettingsException {
        try {
            return schema.cast(Binder.bind(node, schema, null, ""));
        } catch (Binder.Misfit e) {
            int line = new Places(source).line(e.path);
            throw new SettingsException(file + (line > 0 ? ":" + line : "") + ": "
                    + (e.path.isEmpty() ? "" : "field " + e.path + ": ") + e.getMessage());
        }
    }
}
