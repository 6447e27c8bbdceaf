package spanrill.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsTest {
    enum Mode {
        FAST,
        SLOW
    }

    record Inner(
            @Range(min = 0, max = 65_535) int port,
            @Default("\"here\"") String host) {}

    record Outer(
            @Range(min = 1) String name,
            Inner listen,
            @Default("[]") List<Double> rates,
            @Default("{}") Map<String, Inner> more,
            @Default("\"fast\"") Mode mode,
            @Default("null") Double limit,
            @Default("false") boolean on) {
        Outer {
            if (name.equals("forbidden")) {
                throw new IllegalArgumentException("name must not be forbidden");
            }
        }
    }

    @TempDir
    Path folder;

    private Outer read(String source) throws SettingsException, IOException {
        Path file = folder.resolve("x.jsonnet");
        Files.writeString(file, source);
        return Settings.read(file, Outer.class);
    }

    @Test
    void readsJsonnetWithImportsAndDefaults() throws Exception {
        Files.writeString(folder.resolve("base.libsonnet"), "{ port:: 7000, listen: { port: $.port } }");
        Outer outer = read("(import 'base.libsonnet') + { name: 'n' + 1, port:: 8000, rates: [1, 2.5], "
                + "more: { a: { port: 1, host: 'h' } }, mode: 'slow' }");
        assertEquals(
                new Outer(
                        "n1",
                        new Inner(8000, "here"),
                        List.of(1.0, 2.5),
                        Map.of("a", new Inner(1, "h")),
                        Mode.SLOW,
                        null,
                        false),
                outer);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\\n name: 'n',\\n listen: {\\n  port: 70000 } }|x.jsonnet:4: field listen.port: value must be",
                "{\\n name: 'n',\\n listen: { prt: 1 } }|x.jsonnet:3: field listen.prt: is not a known field",
                "{ listen: { port: 1 } }|x.jsonnet: field name: is missing",
                "{ name: 'n', listen: { port: 1 },\\n\\n mode: 'quick' }|x.jsonnet:3: field mode: must be one of",
                "{ name: 'n', listen: { port: 1.5 } }|field listen.port: must be a whole number",
                "{ name: 'n', listen: { port: 1 }, rates: [1,\\n'a'] }|field rates[1]: must be a number, is \"a\"",
                "{ name: 'n', listen: { port: 1 }, more: { x: { port: -1 } } }|field more.x.port: value must be",
                "{ name: 'forbidden', listen: { port: 1 } }|name must not be forbidden",
                "{ name: 'n', listen: { port: 1 }, on: 1 }|field on: must be true or false",
                "{ name: '', listen: { port: 1 } }|field name: length must be at least 1, is 0",
                "[1]|must be an object"
            })
    void mismatchMessageNamesLineFieldAndReason(String text, String message) throws Exception {
        SettingsException failure = assertThrows(SettingsException.class, () -> read(text.replace("\\n", "\n")));
        assertTrue(failure.getMessage().contains(message), failure.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{ name: |x.jsonnet",
                "{ name: 'a' + missing }|missing",
                "local f(x) = f(x + 1) + 1; { name: f(0) }|x.jsonnet",
                "import 'nowhere.libsonnet'|nowhere",
                "{ name: error 'custom message' }|custom message"
            })
    void invalidJsonnetIsReportedOnOneLine(String text, String message) throws Exception {
        SettingsException failure = assertThrows(SettingsException.class, () -> read(text));
        assertTrue(failure.getMessage().contains(message), failure.getMessage());
        assertTrue(!failure.getMessage().contains("\n"));
    }

    @Test
    void missingFileIsReported() {
        SettingsException failure =
                assertThrows(SettingsException.class, () -> Settings.read(folder.resolve("none.jsonnet"), Outer.class));
        assertTrue(failure.getMessage().endsWith("there is no such file"));
    }
}
