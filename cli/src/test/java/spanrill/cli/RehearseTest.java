package spanrill.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import spanrill.check.EventRecorder;
import spanrill.check.TraceEvent;
import spanrill.day.Day;
import spanrill.day.FleetPlan;
import spanrill.model.trouble.Effect;
import spanrill.results.CountRow;
import spanrill.results.ParquetRows;

/** A short day with a real front process: the whole path, with troubles, held to the rules. */
@Timeout(120)
class RehearseTest {
    private static final String DAY = "local common = import 'common.libsonnet';\n"
            + "common { seed: 1, lengthMs: 7000, tailMs: 1000, byteScale: 0.01, fronts: 2,\n"
            + "  boxes: { count: 6, racks: 2, places: 20, linkKb: 3000, setUpMs: 20, coldMs: 2000,\n"
            + "    coldShare: 0.5 },\n"
            + "  titles: { count: 6, copies: [3, 4], audioKb: 24, patternMs: [1000, 900] },\n"
            + "  arrivals: { perS: 12 }, viewers: { doubles: 0.2 },\n"
            + "  troubles: [common.trouble('answer_lost', 1, 3, 0.5), common.trouble('crash', 2, 1, 0.2),\n"
            + "    common.trouble('zone_cut', 3, 2, 0.3), common.trouble('balancer_crash', 4, 1, 0.5)] }\n";

    @TempDir
    Path folder;

    @Test
    void aShortBadDayHoldsTheRules() throws Exception {
        Files.copy(Path.of("..", "days", "common.libsonnet"), folder.resolve("common.libsonnet"));
        Path day = folder.resolve("day.jsonnet");
        Files.writeString(day, DAY);
        StringWriter said = new StringWriter();
        int code = Main.line()
                .setOut(new PrintWriter(said, true))
                .setErr(new PrintWriter(said, true))
                .execute(
                        "rehearse",
                        day.toString(),
                        "--report",
                        folder.resolve("r.json").toString(),
                        "--taps",
                        folder.resolve("taps").toString(),
                        "--results",
                        folder.resolve("rows").toString());
        // A machine that is busy with other things may be too slow to send the load in time: that is told
        // by 4.
        assertTrue(code == Exit.HELD || code == Exit.COULD_NOT_RUN, code + "\n" + said);
        JsonNode report = new ObjectMapper().readTree(folder.resolve("r.json").toFile());
        assertTrue(report.path("held").asBoolean(), report.toPrettyString());
        assertTrue(report.path("requests").asInt() > 60, said.toString());
        assertTrue(report.path("answers").path("plays").asInt() > 20, said.toString());
        assertEquals(6, report.path("rules").size());
        assertTrue(report.path("resources").path("liveBytes").path("model").asLong() > 0);
        assertTrue(report.path("addsUp").asBoolean(), report.toPrettyString());
        assertTrue(report.path("viewers").path("played").asInt() > 20, report.toPrettyString());
        assertTrue(report.path("endedEarly").path("box").isInt());
        assertTrue(report.path("resources").path("cpuMs").path("model").asDouble() > 0);
        assertTrue(Files.size(folder.resolve("rows").resolve("answers.png")) > 0);
        assertTrue(Files.size(folder.resolve("rows").resolve("waits.png")) > 0);
        String page = Files.readString(folder.resolve("rows").resolve("index.html"));
        assertTrue(page.contains("waits.png") && page.contains("exactly one answer in time"), page);
        assertTrue(ParquetRows.read(folder.resolve("rows").resolve("counts.parquet"), CountRow.class)
                        .size()
                >= 6);
        assertEquals(
                0,
                Main.line()
                        .setOut(new PrintWriter(said, true))
                        .execute("check", folder.resolve("taps").toString()),
                said.toString());
        assertEquals(
                0,
                Main.line()
                        .setOut(new PrintWriter(said, true))
                        .execute("tickets", folder.resolve("taps").toString()),
                said.toString());
    }

    @Test
    void aHealedHallsViewersAreFollowed() throws Exception {
        Files.copy(Path.of("..", "days", "common.libsonnet"), folder.resolve("common.libsonnet"));
        Path file = folder.resolve("day.jsonnet");
        Files.writeString(file, DAY);
        Day day = spanrill.settings.Settings.read(file, Day.class);
        List<TraceEvent> events = List.of(
                new TraceEvent.Request(10, 1, 1, "t1.1", "highlight", "title-0", 3000),
                new TraceEvent.Request(10, 2, 1, "t2.1", "highlight", "title-0", 3000),
                new TraceEvent.Request(10, 3, 1, "t3.1", "highlight", "title-0", 3000),
                new TraceEvent.Request(1100, 4, 1, "t1.1", "highlight", "title-0", 3000),
                new TraceEvent.Request(1100, 5, 1, "t2.2", "highlight", "title-0", 3000),
                new TraceEvent.Request(1100, 6, 1, "t9.1", "highlight", "title-0", 3000),
                new TraceEvent.Request(1100, 7, 0, "t3.2", "highlight", "title-0", 3000),
                new TraceEvent.Answer(1150, 4, 200, "plays"),
                new TraceEvent.Answer(1400, 5, 503, "refused"));
        assertEquals(
                List.of(new HealedHall("east-hall", 3, 400, 1, 1, 1)),
                HealedHall.of(
                        events,
                        List.of(new Effect.HallIsolation(500, 1, true), new Effect.HallIsolation(950, 1, false)),
                        50,
                        day));
    }

    /** A front in the emulator starts with the very settings that a front process of a rehearsal reads. */
    @Test
    void emulatedFrontsHaveTheSettingsOfThoseOnSockets() throws Exception {
        Path days = Path.of("..", "days");
        for (String name : List.of("first-bad-day", "derby-150", "path-ten-minutes")) {
            Day day = spanrill.settings.Settings.read(days.resolve(name + ".jsonnet"), Day.class);
            FleetPlan fleet = FleetPlan.of(day, 9);
            Path file = folder.resolve("front.json");
            FrontConfig.write(
                    file,
                    day,
                    fleet.boxes().stream().map(FleetPlan.Box::linkKbytesPerS).toList(),
                    1,
                    0,
                    1,
                    9,
                    java.util.Map.of());
            assertEquals(
                    spanrill.settings.Settings.read(file, spanrill.front.FrontSettings.class)
                            .coreSettings(),
                    spanrill.emulator.FrontPlan.of(day, fleet, 1, 9));
        }
        CommandLineOutput shown = run(
                "emulate",
                days.resolve("first-bad-day.jsonnet").toString(),
                "--report",
                folder.resolve("emulated.json").toString(),
                "--taps",
                folder.resolve("emulated").toString());
        assertEquals(Exit.HELD, shown.code(), shown.text());
        assertTrue(new ObjectMapper()
                .readTree(folder.resolve("emulated.json").toFile())
                .path("addsUp")
                .asBoolean());
        assertEquals(
                Exit.HELD, run("check", folder.resolve("emulated").toString()).code());
        // The module's own text, compiled anew, plays the very same day; one that is broken is told.
        Path text = Path.of("..", "core", "src", "main", "java", "spanrill", "Control.java");
        String first = days.resolve("first-bad-day.jsonnet").toString();
        assertEquals(
                Exit.HELD,
                run(
                                "emulate",
                                first,
                                "--module",
                                text.toString(),
                                "--taps",
                                folder.resolve("again").toString())
                        .code());
        assertEquals(
                -1,
                Files.mismatch(
                        folder.resolve("emulated").resolve("tap.jsonl"),
                        folder.resolve("again").resolve("tap.jsonl")));
        Path broken = folder.resolve("Control.java");
        Files.writeString(
                broken,
                Files.readString(text).replace("double TARGET_UTILIZATION = 0.88;", "double TARGET_UTILIZATION = ;"));
        CommandLineOutput told = run("emulate", first, "--module", broken.toString());
        assertEquals(Exit.BAD_INPUT, told.code());
        assertTrue(told.text().contains("Control.java:") && told.text().contains("illegal start"), told.text());
    }

    @Test
    void recordsOfAnotherKindAreTold() throws Exception {
        Path file = folder.resolve("x.parquet");
        Files.writeString(file, "nonsense");
        CommandLineOutput shares = run("shares", file.toString());
        assertEquals(Exit.BAD_INPUT, shares.code());
        assertTrue(shares.text().contains("is no Parquet file"), shares.text());
        assertEquals(Exit.BAD_INPUT, run("tickets", file.toString()).code());
        assertEquals(Exit.BAD_INPUT, run("plot", folder.toString()).code());
        assertEquals(Exit.BAD_INPUT, run("report", folder.toString()).code());
        assertEquals(
                Exit.BAD_INPUT,
                run(
                                "versions",
                                Path.of("..", "days", "first-bad-day.jsonnet").toString(),
                                "--journal",
                                folder.toString())
                        .code());
        Path day = Path.of("..", "days", "first-bad-day.jsonnet");
        assertEquals(
                Exit.BAD_INPUT,
                run("model", "show", day.toString(), "--step", "0").code());
        CommandLineOutput shown = run("model", "show", day.toString());
        assertEquals(Exit.HELD, shown.code(), shown.text());
        assertTrue(shown.text().contains("balancer_crash") && shown.text().contains("is wanted most"), shown.text());
        try (EventRecorder tap = new EventRecorder(folder.resolve("tap.jsonl"))) {
            tap.record(new TraceEvent.FrontStarted(1, 0));
        }
        assertEquals(Exit.RULE_BROKEN, run("tickets", folder.toString()).code(), "nothing was shown");
    }

    private record CommandLineOutput(int code, String text) {}

    private static CommandLineOutput run(String... words) {
        StringWriter said = new StringWriter();
        PrintWriter out = new PrintWriter(said, true);
        int code = Main.line().setOut(out).setErr(out).execute(words);
        return new CommandLineOutput(code, said.toString());
    }
}
