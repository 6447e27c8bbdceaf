package spanrill.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import spanrill.check.EventRecorder;
import spanrill.check.TraceEvent;

class CommandsTest {
    private static final Path DAYS = Path.of("..", "days");

    @TempDir
    Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(Object... args) {
        String[] words = new String[args.length];
        for (int i = 0; i < args.length; i++) {
            words[i] = String.valueOf(args[i]);
        }
        CommandLine line = Main.line().setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
        return line.execute(words);
    }

    @Test
    void helpTeaches() {
        assertEquals(0, run("--help"));
        assertTrue(out.toString().contains("Exit codes") && out.toString().contains("rehearse"));
        for (String command : new String[] {"serve", "standin", "rehearse", "check", "token", "config"}) {
            assertEquals(0, run(command, "--help"));
        }
        assertEquals(2, run("wonder"));
    }

    @Test
    void everyDayFileCanBeUsed() throws Exception {
        try (var files = Files.list(DAYS)) {
            for (Path day : files.filter(f -> f.toString().endsWith(".jsonnet")).toList()) {
                assertEquals(0, run("config", "check", "--as", "DAY", day), err.toString());
            }
        }
    }

    @Test
    void badSettingsAreToldWithTheirPlace() throws Exception {
        Path file = folder.resolve("front.jsonnet");
        Files.writeString(file, "{\n  me: 0,\n  fronts: 'three' }");
        assertEquals(2, run("config", "check", file));
        assertTrue(err.toString().contains("front.jsonnet:3: field fronts: must be a number"), err.toString());
        assertFalse(err.toString().contains("\tat "));
        assertEquals(2, run("serve", file));
        assertEquals(2, run("rehearse", file));
        assertEquals(2, run("rehearse", folder.resolve("none")));
        assertEquals(2, run("rehearse", DAYS.resolve("first-bad-day.jsonnet"), "--fronts", 0));
    }

    @Test
    void keysAndTokensAreMadeByHand() throws Exception {
        assertEquals(0, run("token", "--new-keys", folder.resolve("k")));
        assertTrue(!Files.readString(folder.resolve("k.public.json")).contains("\"d\""));
        assertEquals(0, run("token", "--keys", folder.resolve("k.private.json"), "--title", "t", "--class", "free"));
        assertEquals(3, out.toString().trim().split("\\.").length);
        assertEquals(2, run("token", "--keys", folder.resolve("k.private.json")));
        assertEquals(4, run("token", "--keys", folder.resolve("none"), "--title", "t", "--class", "c"));
    }

    @Test
    void checkTellsHeldBrokenAndBad() throws Exception {
        Path file = folder.resolve("tap.jsonl");
        TraceEvent.RunParameters facts = new TraceEvent.RunParameters(
                0,
                java.util.Map.of("free", new TraceEvent.ClassParameters(false, 0, 0)),
                20,
                250,
                0,
                1,
                2,
                1500,
                null,
                null,
                null);
        try (EventRecorder tap = new EventRecorder(file)) {
            tap.record(facts);
            tap.record(new TraceEvent.Request(1, 1, 0, "t", "free", "title", 100));
            tap.record(new TraceEvent.Answer(5, 1, 503, "refused"));
        }
        assertEquals(0, run("check", folder));
        assertTrue(out.toString().contains("rule 6"));
        try (EventRecorder tap = new EventRecorder(file)) {
            tap.record(facts);
            tap.record(new TraceEvent.Request(1, 1, 0, "t", "free", "title", 100));
            tap.record(new TraceEvent.Answer(500, 1, 503, "refused"));
        }
        assertEquals(3, run("check", "--json", file));
        assertTrue(out.toString().contains("\"held\" : false"));
        Files.writeString(file, "nonsense\n");
        assertEquals(2, run("check", file));
        assertTrue(err.toString().contains("tap.jsonl:1: is no record"), err.toString());
        assertEquals(2, run("check", folder.resolve("none")));
    }
}
