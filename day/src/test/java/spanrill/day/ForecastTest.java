package spanrill.day;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spanrill.settings.Settings;

class ForecastTest {
    @TempDir
    Path folder;

    private Day readDay(String additionalFields) throws Exception {
        Path file = folder.resolve("day.jsonnet");
        Files.writeString(
                file,
                "{ seed: 3, lengthMs: 200000, tailMs: 0, zones: ['a', 'b'], fronts: 4,\n"
                        + "  classes: { c: { share: 1, sessionMs: [10000, 10000], aimMs: 500, patienceMs: 2000,\n"
                        + "    worth: 1, scale: 2 } },\n"
                        + "  ladder: { kb: [100, 400], worth: [0.5, 1] },\n"
                        + "  notes: { lateMs: 500, tellMs: 3000, stall: 6, changeCostMs: 500 }, rules: {},\n"
                        + "  boxes: { count: 10, racks: 2, places: 20, linkKb: 1000, uplinkShare: 0.5,\n"
                        + "    coldMs: 5000, coldShare: 0.5 },\n"
                        + "  titles: { count: 5, copies: [2, 2], zipf: 0 }, arrivals: { perS: 20 },\n"
                        + "  viewers: { low: 0 }, " + additionalFields + " }");
        return Settings.read(file, Day.class);
    }

    /** By Little's law, 20 arrivals per second that stay for 10 s give 200 concurrent sessions. */
    @Test
    void demandFollowsFromArrivalRateAndSessionLength() throws Exception {
        Forecast forecast = Forecast.compute(readDay(""), 3, 10_000);
        assertEquals(20, forecast.steps().size());
        List<Forecast.Step> steadySteps = forecast.steps().subList(1, 20);
        assertEquals(
                200,
                steadySteps.stream().mapToInt(Forecast.Step::sessions).average().orElse(0),
                12);
        for (Forecast.Step step : steadySteps) {
            assertEquals(step.sessions() * 200.0, step.floorKbytesPerS(), 1e-6);
            assertEquals(step.sessions() * 800.0, step.topKbytesPerS(), 1e-6);
            assertEquals(10_000, step.linksKbytesPerS(), 1e-6);
            assertEquals(5000, step.uplinksKbytesPerS(), 1e-6);
            assertEquals(200, step.places());
            assertTrue(step.floorRungUtilization() > 4, "floor rungs demand 40 MB/s of a capacity of 5 MB/s");
        }
        assertEquals(0.2, forecast.hottest().share(), 0.03);
        assertEquals(40, forecast.hottest().places());
    }

    @Test
    void troublesReduceTheCapacityOnlyWhileTheyLast() throws Exception {
        Day day = readDay("troubles: [\n"
                + "  { kind: 'crash', atMs: 42000, forMs: 3000, part: 0.4 },\n"
                + "  { kind: 'shared_slow', atMs: 42000, forMs: 30000, part: 0.5 },\n"
                + "  { kind: 'balancer_crash', atMs: 101000, forMs: 5000, part: 0.5 }]");
        List<Forecast.Step> steps = Forecast.compute(day, 3, 10_000).steps();
        assertEquals(120, steps.get(4).places(), "four boxes are down for a part of the step");
        assertEquals(6000, steps.get(4).linksKbytesPerS(), 1e-6);
        assertEquals(200, steps.get(5).places());
        assertEquals(3750, steps.get(5).uplinksKbytesPerS(), 1e-6, "one of two uplinks has half its capacity");
        assertEquals(5000, steps.get(9).uplinksKbytesPerS(), 1e-6);
        assertEquals(2, steps.get(10).frontsUp());
        assertEquals(4, steps.get(11).frontsUp());
        DayPlan plan = new DayPlan(day, 3);
        assertEquals(
                List.of(4L, 1L, 2L),
                List.of(plan.initialTargetCount(0), plan.initialTargetCount(1), plan.initialTargetCount(2)));
    }
}
