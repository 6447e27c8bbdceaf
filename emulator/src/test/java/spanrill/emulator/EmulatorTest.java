package spanrill.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import spanrill.Control;
import spanrill.SessionControl;
import spanrill.check.EarlyEnds;
import spanrill.check.RequestTally;
import spanrill.check.RuleChecker;
import spanrill.check.TraceEvent;
import spanrill.check.Verdict;
import spanrill.check.ViewerOutcomes;
import spanrill.day.Day;
import spanrill.model.trouble.Kind;
import spanrill.settings.Settings;

class EmulatorTest {
    @TempDir
    Path folder;

    /** A day of 12 boxes in 3 racks, too small for all who come, with these troubles. */
    private Day day(int fronts, String troubles) throws Exception {
        Path file = folder.resolve("day.jsonnet");
        Files.writeString(
                file,
                "{ seed: 3, lengthMs: 30000, tailMs: 4000, zones: ['a', 'b', 'c'], fronts: "
                        + fronts + ",\n  classes: {\n"
                        + "    free: { share: 0.7, sessionMs: [5000, 15000], aimMs: 800, patienceMs: 3000,\n"
                        + "      worth: 1 },\n"
                        + "    paid: { share: 0.3, sessionMs: [5000, 15000], aimMs: 800, patienceMs: 3000,\n"
                        + "      worth: 3, once: true, floor: 1, scale: 1.2 } },\n"
                        + "  ladder: { kb: [230, 390, 660, 1100], worth: [0.25, 0.5, 0.75, 1] },\n"
                        + "  notes: { lateMs: 800, tellMs: 3000, stall: 6, changeCostMs: 600 },\n"
                        + "  rules: { spareAttempts: 3, attemptShare: 0.2, attemptWindowMs: 10000 },\n"
                        + "  boxes: { count: 12, racks: 3, places: 16, linkKb: 5000, linkSpread: 0.2,\n"
                        + "    uplinkShare: 0.7, coldMs: 6000, coldShare: 0.5 },\n"
                        + "  titles: { count: 15, copies: [3, 5], audioKb: 24 }, arrivals: { perS: 8 },\n"
                        + "  viewers: { doubles: 0.1, replays: 0.1, leaves: 0.05, neverReads: 0.01 },\n"
                        + "  troubles: [" + troubles + "] }\n");
        return Settings.read(file, Day.class);
    }

    private static String trouble(Kind kind, int at, double part) {
        return "{ kind: '" + kind.name().toLowerCase(java.util.Locale.ROOT) + "', atMs: " + at + ", forMs: 5000, part: "
                + part + " },";
    }

    private static void holds(Emulator.Run run) {
        for (Verdict verdict : RuleChecker.evaluate(run.records())) {
            assertTrue(verdict.passed(), verdict.name() + ": " + verdict.violations());
        }
        assertTrue(RequestTally.of(run.records()).isConsistent());
        assertTrue(ViewerOutcomes.of(run.records()).all().isConsistent());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void theRulesHoldInEveryTrouble(Kind kind) throws Exception {
        Day day = day(3, trouble(kind, 8000, kind == Kind.BURST || kind == Kind.HOT_KEY ? 3 : 0.5));
        for (long seed = 1; seed <= 3; seed++) {
            Emulator.Run run = Emulator.play(day, seed);
            holds(run);
            RequestTally tally = RequestTally.of(run.records());
            assertTrue(tally.requests() > 150 && tally.plays() > 60, tally.toString());
            assertTrue(run.figures().setUpMs(0.5) > 20, "set-ups take their time");
        }
    }

    @Test
    void allTroublesAtOnceHoldThemToo() throws Exception {
        StringBuilder all = new StringBuilder();
        for (Kind kind : Kind.values()) {
            all.append(trouble(kind, 4000 + 1200 * kind.ordinal(), 0.3));
        }
        for (long seed = 1; seed <= 10; seed++) {
            holds(Emulator.play(day(4, all.toString()), seed));
        }
    }

    /** The same day and seed give the same records, alone and among others on all cores. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5})
    void theSameSeedGivesTheSameRecords(int fronts) throws Exception {
        Day day = day(
                fronts,
                trouble(Kind.CRASH, 6000, 0.3)
                        + trouble(Kind.BALANCER_CRASH, 9000, 0.5)
                        + trouble(Kind.ZONE_CUT, 15000, 0.3)
                        + trouble(Kind.ANSWER_LOST, 20000, 0.5));
        List<TraceEvent> alone = Emulator.play(day, 7).records();
        List<List<TraceEvent>> together = IntStream.range(0, 6)
                .parallel()
                .mapToObj(i -> {
                    try {
                        return Emulator.play(day, i < 4 ? 7 : 8).records();
                    } catch (java.io.IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                })
                .toList();
        together.subList(0, 4).forEach(records -> assertEquals(alone, records));
        assertFalse(alone.equals(together.get(4)), "another seed is another day");
    }

    /** No policy earns more than the bound, on any small day, whatever goes wrong. */
    @Property(tries = 1000, seed = "20261201")
    void theBoundIsNeverBeaten(@ForAll @IntRange(min = 1, max = 100_000) int seed) throws Exception {
        folder = Files.createTempDirectory("bound");
        Kind kind = Kind.values()[seed % Kind.values().length];
        String policy = List.of("module", "random:top", "fewest:lowest", "two-drawn", "hash")
                .get(seed % 5);
        Emulator.Run run = Emulator.play(
                day(1 + seed % 4, trouble(kind, 9000, 0.6)),
                seed,
                new Emulator.Options(null, Policies.of(policy), 1000, true));
        Worth worth = run.worth();
        assertTrue(
                worth.earned() <= worth.most() * (1 + 1e-9) && worth.most() <= worth.asked() * (1 + 1e-9),
                policy + " " + kind + " " + worth);
        // Top rungs for all earn next to nothing when links are short; the module always earns something.
        assertTrue(!policy.equals("module") || worth.earned() > 0.05 * worth.asked(), kind + " " + worth);
    }

    /** Textbook rules know nothing of cold boxes: rule 5 may break, no other. */
    @Test
    void baselinesPlayAndKeepWhatTheyKnowOf() throws Exception {
        Day day = day(3, trouble(Kind.DEPLOY, 8000, 0.5));
        for (String policy : List.of("random", "fewest:top", "two-drawn:throughput", "hash:lowest")) {
            Emulator.Run run = Emulator.play(day, 3, new Emulator.Options(null, Policies.of(policy), 1000, false));
            List<Integer> broken = RuleChecker.evaluate(run.records()).stream()
                    .filter(v -> !v.passed())
                    .map(Verdict::rule)
                    .toList();
            assertTrue(broken.isEmpty() || broken.equals(List.of(5)), policy + " broke " + broken);
            assertTrue(RequestTally.of(run.records()).plays() > 60, policy);
        }
        assertThrows(IllegalArgumentException.class, () -> Policies.of("best"));
        assertThrows(IllegalArgumentException.class, () -> Policies.of("random:middle"));
    }

    /** A policy that is told of no drains goes on sending there: the checker sees it in the records. */
    @Test
    void aPolicyThatIsDeafToDrainsIsCaught() throws Exception {
        Day day = day(1, trouble(Kind.DEPLOY, 5000, 1));
        Emulator.Run run = Emulator.play(
                day,
                3,
                new Emulator.Options(
                        null, (settings, seed, actions) -> deaf(new Control(settings, seed, actions)), 1000, false));
        List<Integer> broken = RuleChecker.evaluate(run.records()).stream()
                .filter(v -> !v.passed())
                .map(Verdict::rule)
                .toList();
        assertTrue(broken.contains(4), broken.toString());
    }

    private static SessionControl deaf(SessionControl module) {
        return (SessionControl) java.lang.reflect.Proxy.newProxyInstance(
                EmulatorTest.class.getClassLoader(),
                new Class<?>[] {SessionControl.class},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("servers")) {
                        List<SessionControl.Server> told = new ArrayList<>();
                        for (Object each : (List<?>) arguments[2]) {
                            SessionControl.Server s = (SessionControl.Server) each;
                            told.add(new SessionControl.Server(
                                    s.id(),
                                    s.zone(),
                                    s.kind(),
                                    s.cell(),
                                    SessionControl.ServerState.READY,
                                    s.weight(),
                                    s.startedAt()));
                        }
                        arguments[2] = told;
                    }
                    return method.invoke(module, arguments);
                });
    }

    @Test
    void whatIsDoneToADayShowsInIt() throws Exception {
        Emulator.Run calm = Emulator.play(day(3, ""), 3);
        assertEquals(0, EarlyEnds.countByCause(EarlyEnds.find(calm.records())).get(EarlyEnds.Cause.BOX));
        Emulator.Run crashes = Emulator.play(day(3, trouble(Kind.CRASH, 12000, 0.5)), 3);
        assertTrue(EarlyEnds.countByCause(EarlyEnds.find(crashes.records())).get(EarlyEnds.Cause.BOX) > 10);
        Emulator.Run slow = Emulator.play(day(3, trouble(Kind.SLOW, 5000, 1) + trouble(Kind.SLOW, 10000, 1)), 3);
        assertTrue(slow.figures().setUpMs(0.9) > 2 * calm.figures().setUpMs(0.9));
        long lost = Stream.of(1, 2, 3)
                .mapToLong(seed -> {
                    try {
                        return RequestTally.of(Emulator.play(day(3, trouble(Kind.BALANCER_CRASH, 12000, 1)), seed)
                                        .records())
                                .lostWithFront();
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                })
                .sum();
        assertTrue(lost > 0, "fronts that die lose requests");
    }

    /** With nothing short, each set-up takes its work, and nobody is refused, stalls or comes again. */
    @Test
    void aDayWithRoomForAllIsPlayedWhole() throws Exception {
        Path file = folder.resolve("roomy.jsonnet");
        day(2, "");
        Files.writeString(
                file,
                Files.readString(folder.resolve("day.jsonnet"))
                        .replace("linkKb: 5000", "linkKb: 500000")
                        .replace("places: 16", "places: 400")
                        .replace("leaves: 0.05", "leaves: 0"));
        Emulator.Run run = Emulator.play(Settings.read(file, Day.class), 3);
        holds(run);
        RequestTally tally = RequestTally.of(run.records());
        assertEquals(0, tally.refused() + tally.failed() + tally.unanswered(), tally.toString());
        assertEquals(0, run.figures().stalls());
        assertEquals(1, run.figures().delivered(), 1e-9);
        // Half to one and a half times 40 ms, and what the ways and the token take.
        assertTrue(
                run.figures().setUpMs(0.01) > 22 && run.figures().setUpMs(1) < 72,
                run.figures().setUpMs(0.01) + " to " + run.figures().setUpMs(1));
    }
}
