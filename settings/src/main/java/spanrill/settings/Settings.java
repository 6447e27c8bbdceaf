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

/** Reads settings files. */
public final class Settings {
    private static final long MAX_FILE_BYTES = 1 << 20;
    private static final ObjectMapper JSON = new ObjectMapper();

    private Settings() {}

    /**
     * Evaluates a Jsonnet file and converts the result to a record. Imports are resolved relative to the file's folder.
     *
     * @throws SettingsException when the file cannot be read, is not valid Jsonnet or does not match the schema
     */
    public static <T> T read(Path file, Class<T> schema) throws SettingsException {
        String source;
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new SettingsException(file + ": is larger than " + MAX_FILE_BYTES + " bytes");
            }
            source = Files.readString(file, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            throw new SettingsException(file + ": there is no such file");
        } catch (IOException e) {
            throw new SettingsException(file + ": cannot be read: " + e.getMessage());
        }
        return bind(file, source, evaluate(file, source), schema);
    }

    /** Evaluates a Jsonnet source to JSON; imports and error messages refer to the file. */
    static JsonNode evaluate(Path file, String source) throws SettingsException {
        Path absolute = file.toAbsolutePath().normalize();
        OsPath path = FolderImporter.toOsPath(absolute);
        OsPath folder = FolderImporter.toOsPath(absolute.getParent());
        scala.collection.immutable.Map<String, String> noVariables = scala.collection.immutable.Map$.MODULE$.empty();
        scala.util.Either<String, ujson.Value> result;
        try {
            Interpreter interpreter = new Interpreter(
                    noVariables,
                    noVariables,
                    folder,
                    new FolderImporter(),
                    new DefaultParseCache(),
                    Interpreter.$lessinit$greater$default$6(),
                    Interpreter.$lessinit$greater$default$7(),
                    Interpreter.$lessinit$greater$default$8(),
                    Interpreter.$lessinit$greater$default$9());
            result = interpreter.interpret(source, path);
        } catch (StackOverflowError e) {
            throw new SettingsException(file + ": is nested or recurses too deeply");
        }
        if (result.isLeft()) {
            String reason = result.left().toOption().get();
            throw new SettingsException(
                    file + ": " + reason.replaceAll("\\s*\\R\\s*", " ").trim());
        }
        try {
            return JSON.readTree(ujson.package$.MODULE$.write(result.toOption().get(), -1, false));
        } catch (JsonProcessingException e) {
            throw new SettingsException(file + ": does not evaluate to JSON: " + e.getOriginalMessage());
        }
    }

    private static <T> T bind(Path file, String source, JsonNode node, Class<T> schema) throws SettingsException {
        try {
            return schema.cast(Binder.bind(node, schema, null, ""));
        } catch (Binder.SchemaMismatchException e) {
            int line = new FieldLocator(source).findLine(e.path);
            throw new SettingsException(file + (line > 0 ? ":" + line : "") + ": "
                    + (e.path.isEmpty() ? "" : "field " + e.path + ": ") + e.getMessage());
        }
    }
}
