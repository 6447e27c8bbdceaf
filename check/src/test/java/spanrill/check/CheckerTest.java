package spanrill.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spanrill.check.TraceEvent.Answer;
import spanrill.check.TraceEvent.AttemptEnded;
import spanrill.check.TraceEvent.AttemptStarted;
import spanrill.check.TraceEvent.BoxMuted;
import spanrill.check.TraceEvent.BoxStarted;
import spanrill.check.TraceEvent.BoxStateSent;
import spanrill.check.TraceEvent.BoxStopped;
import spanrill.check.TraceEvent.CancelAnswer;
import spanrill.check.TraceEvent.FrontStalled;
import spanrill.check.TraceEvent.FrontStopped;
import spanrill.check.TraceEvent.Request;
import spanrill.check.TraceEvent.RequestAborted;
import spanrill.check.TraceEvent.RequestTimedOut;
import spanrill.check.TraceEvent.RungChanged;
import spanrill.check.TraceEvent.SegmentReceived;
import spanrill.check.TraceEvent.SetUp;
import spanrill.check.TraceEvent.SetUpAnswer;

/** Each rule: a run that keeps it passes, and the same run with one planted fault is caught, by it alone. */
class CheckerTest {
    private final List<TraceEvent> events = new ArrayList<>(List.of(facts(null)));

    private static TraceEvent.RunParameters facts(Double spare) {
        return new TraceEvent.RunParameters(
                0,
                Map.of(
                        "free",
                        new TraceEvent.ClassParameters(false, 0, 0),
                        "paid",
                        new TraceEvent.ClassParameters(true, 1, 2)),
                20,
                250,
                10_000,
                0.5,
                2,
                1500,
                spare,
                spare == null ? null : 0.1,
                spare == null ? null : 10_000.0);
    }

    private CheckerTest add(TraceEvent... more) {
        events.addAll(List.of(more));
        return this;
    }

    private CheckerTest ask(double t, long ask, String token, String cls) {
        return add(new Request(t, ask, 0, token, cls, "title", 3000));
    }

    private CheckerTest setUp(double t, String box, String token, int attempt, String cls) {
        return add(new SetUp(t, box, 0, token, token + "." + attempt, cls, "title", 1, cls.equals("paid"), null));
    }

    private CheckerTest runs(double t, String key) {
        return add(new AttemptStarted(t, key), new SetUpAnswer(t, key, 200, null));
    }

    private CheckerTest turnedAway(double t, String key) {
        return add(new SetUpAnswer(t, key, 503, "places"));
    }

    private CheckerTest answer(double t, long ask, String answer) {
        return add(new Answer(t, ask, 200, answer));
    }

    private void brokenIs(int... rules) {
        // The records' end: whatever was still owed is overdue by then.
        add(new BoxStopped(1e6, "nowhere", "end"));
        List<Integer> broken = RuleChecker.evaluate(events).stream()
                .filter(v -> !v.passed())
                .map(Verdict::rule)
                .toList();
        assertEquals(java.util.Arrays.stream(rules).boxed().toList(), broken);
    }

    private CheckerTest paidThatPlays() {
        return ask(10, 1, "t", "paid")
                .setUp(20, "a", "t", 1, "paid")
                .turnedAway(25, "t.1")
                .setUp(30, "b", "t", 2, "paid")
                .runs(60, "t.2")
                .answer(65, 1, "plays");
    }

    @Test
    void aRunThatKeepsAllRules() {
        paidThatPlays()
                .add(new SegmentReceived(100, "t", 0, 2, 10, 5), new AttemptEnded(500, "t.2", "released"))
                .brokenIs();
    }

    @Test
    void twoAnswersAreCaught() {
        paidThatPlays().answer(70, 1, "refused").brokenIs(1, 2);
    }

    @Test
    void aSecondAnswerThatNobodyAskedForIsCaught() {
        paidThatPlays().answer(70, 1, "unasked").brokenIs(1);
    }

    @Test
    void noAnswerAndALateAnswerAreCaught() {
        ask(10, 1, "t", "free").brokenIs(1);
        events.remove(events.size() - 1);
        answer(3020, 1, "refused").brokenIs(1);
    }

    @Test
    void aLostConnectionIsCaughtUnlessTheViewerLeftOrTheFrontDied() {
        ask(10, 1, "t", "free").add(new RequestAborted(50, 1, true)).brokenIs();
        ask(10, 2, "u", "free").add(new RequestAborted(50, 2, false)).brokenIs(1);
        add(new FrontStopped(45, 0)).brokenIs();
    }

    @Test
    void aFrontThatStoodStillHasThatMuchMoreTime() {
        ask(10, 1, "t", "free")
                .answer(3900, 1, "plays")
                .add(new FrontStalled(500, 0, 1000))
                .brokenIs();
    }

    @Test
    void aFrontThatStoodStillOwesTheAnswerByAsMuchLater() {
        // Stood 3 s of the 3 s: nobody waits any more when it runs again.
        ask(10, 1, "t", "free")
                .add(new FrontStalled(500, 0, 3000), new RequestTimedOut(3210, 1))
                .brokenIs();
        // Stood 100 ms: the viewer that waited 200 ms more than its time should have had its answer.
        events.removeIf(e -> !(e instanceof TraceEvent.RunParameters));
        ask(10, 1, "t", "free")
                .add(new FrontStalled(500, 0, 100), new RequestTimedOut(3210, 1))
                .brokenIs(1);
        assertEquals(1, RequestTally.of(events).unanswered());
        assertEquals(0, RequestTally.of(events).excused());
    }

    @Test
    void aRequestThatItsDeadFrontTookIsCountedOnce() {
        ask(10, 1, "t", "free")
                .ask(20, 2, "u", "free")
                .ask(30, 3, "v", "free")
                .answer(60, 1, "plays")
                .add(new FrontStopped(70, 0), new RequestAborted(72, 2, false))
                .brokenIs();
        RequestTally tally = RequestTally.of(events);
        assertEquals(new RequestTally(3, 1, 0, 0, 0, 0, 0, 0, 2), tally);
        assertTrue(tally.isConsistent());
    }

    @Test
    void aPaidSetUpSentAgainAfterATimeOutIsCaught() {
        ask(10, 1, "t", "paid")
                .setUp(20, "a", "t", 1, "paid")
                .add(new AttemptEnded(1000, "t.1", "called off"))
                .setUp(1001, "b", "t", 2, "paid")
                .runs(1030, "t.2")
                .answer(1040, 1, "plays")
                .brokenIs(2);
    }

    @Test
    void aCallOffThatCameBeforeTheBeginningIsProof() {
        ask(10, 1, "t", "paid")
                .setUp(20, "a", "t", 1, "paid")
                .add(new CancelAnswer(100, "t.1", false))
                .setUp(110, "b", "t", 2, "paid")
                .runs(160, "t.2")
                .answer(165, 1, "plays")
                .brokenIs();
        add(new AttemptStarted(150, "t.1")).brokenIs(2);
    }

    @Test
    void aProofThatCameAfterTheNextSetUpIsNone() {
        ask(10, 1, "t", "paid")
                .setUp(20, "a", "t", 1, "paid")
                .add(new AttemptEnded(90, "t.1", "called off"))
                .setUp(110, "b", "t", 2, "paid")
                .add(new CancelAnswer(120, "t.1", false))
                .runs(160, "t.2")
                .answer(165, 1, "plays")
                .brokenIs(2);
    }

    @Test
    void aRefusalOfAPaidOneThatMayHaveRunIsCaught() {
        ask(10, 1, "t", "paid")
                .setUp(20, "a", "t", 1, "paid")
                .add(new AttemptEnded(1000, "t.1", "called off"))
                .answer(1040, 1, "refused")
                .brokenIs(2);
    }

    @Test
    void aFailureOfAPaidOneThatMayHaveRunIsRight() {
        ask(10, 1, "t", "paid")
                .setUp(20, "a", "t", 1, "paid")
                .add(new AttemptEnded(1000, "t.1", "called off"))
                .answer(1040, 1, "failed")
                .brokenIs();
    }

    @Test
    void goingOnWithoutASessionThatPlayedIsCaught() {
        ask(10, 1, "t", "paid")
                .add(new SetUp(20, "a", 0, "t", "t.1", "paid", "title", 1, false, "t.0"))
                .runs(30, "t.1")
                .answer(40, 1, "plays")
                .brokenIs(2);
    }

    @Test
    void aMoveThatGoesOnWithOneThatPlayedIsRight() {
        paidThatPlays()
                .add(
                        new AttemptEnded(900, "t.2", "released"),
                        new SetUp(950, "c", 0, "t", "t.3", "paid", "title", 1, false, "t.2"))
                .runs(990, "t.3")
                .brokenIs();
    }

    @Test
    void twoAttemptsOutAtOnceAreCaught() {
        ask(10, 1, "t", "free")
                .setUp(20, "a", "t", 1, "free")
                .setUp(30, "b", "t", 2, "free")
                .runs(60, "t.2")
                .answer(65, 1, "plays")
                .add(new AttemptEnded(400, "t.1", "called off"))
                .brokenIs(3);
    }

    @Test
    void anEndThatABoxWithoutALineCanNotSeeIsNotJudged() {
        ask(10, 1, "t", "free")
                .add(new BoxMuted(15, "a", true, null))
                .setUp(20, "a", "t", 1, "free")
                .setUp(700, "b", "t", 2, "free")
                .runs(760, "t.2")
                .answer(765, 1, "plays")
                .brokenIs();
    }

    @Test
    void aSetUpAfterADrainWasHeardIsCaught() {
        add(new BoxStateSent(100, 0, "a", "draining", 0))
                .ask(310, 1, "t", "free")
                .setUp(349, "a", "t", 1, "free")
                .runs(380, "t.1")
                .answer(390, 1, "plays")
                .brokenIs();
        ask(400, 2, "u", "free")
                .setUp(420, "a", "u", 1, "free")
                .runs(440, "u.1")
                .answer(450, 2, "plays")
                .brokenIs(4);
    }

    @Test
    void aBoxThatIsListedReadyAgainMayBeUsed() {
        add(new BoxStateSent(100, 0, "a", "gone", 0), new BoxStateSent(800, 0, "a", "ready", 700))
                .ask(900, 1, "t", "free")
                .setUp(950, "a", "t", 1, "free")
                .runs(980, "t.1")
                .answer(990, 1, "plays")
                .brokenIs();
    }

    /** 2 x 20 places / 10 s x half warm x 1.5 s and two more: nine are too many, if the front was told. */
    private CheckerTest flood(boolean told, int many) {
        add(new BoxStarted(100, "a", true));
        if (told) {
            add(new BoxStateSent(150, 0, "a", "ready", 100));
        }
        for (int i = 0; i < many; i++) {
            ask(200 + i, i, "t" + i, "free")
                    .setUp(210 + i, "a", "t" + i, 1, "free")
                    .runs(230 + i, "t" + i + ".1")
                    .answer(240 + i, i, "plays");
        }
        return this;
    }

    @Test
    void aFloodOfAColdBoxIsCaught() {
        flood(true, 9).brokenIs(5);
    }

    @Test
    void aFloodByWhoWasNotToldAndAPaceWithinTheBudgetAreRight() {
        flood(false, 9).brokenIs();
        events.subList(1, events.size()).clear();
        flood(true, 5).brokenIs();
    }

    @Test
    void playingBelowTheFloorIsCaughtWhereverItShows() {
        paidThatPlays().add(new SegmentReceived(100, "t", 0, 0, 10, 5)).brokenIs(5);
        events.removeIf(e -> e instanceof SegmentReceived);
        add(new RungChanged(100, "t.2", 0)).brokenIs(5);
        events.removeIf(e -> e instanceof RungChanged);
        ask(110, 2, "u", "paid")
                .add(new SetUp(120, "b", 0, "u", "u.1", "paid", "title", 0, true, null))
                .turnedAway(130, "u.1")
                .answer(140, 2, "refused")
                .brokenIs(5);
    }

    @Test
    void moreThanTheSeatsAreCaught() {
        for (int i = 0; i < 3; i++) {
            ask(i * 100, i, "t" + i, "paid")
                    .setUp(10 + i * 100, "a", "t" + i, 1, "paid")
                    .runs(30 + i * 100, "t" + i + ".1")
                    .answer(40 + i * 100, i, "plays");
        }
        brokenIs(5);
        add(new AttemptEnded(150, "t0.1", "released")).brokenIs();
    }

    @Test
    void aSetUpThatWaitedAtASilentBoxIsNotNewWhenItIsRead() {
        ask(10, 1, "t", "free")
                .add(
                        new BoxStateSent(100, 0, "a", "draining", 0),
                        new BoxMuted(50, "a", true, "east"),
                        new BoxMuted(600, "a", false, "east"))
                .setUp(601, "a", "t", 1, "free")
                .turnedAway(602, "t.1")
                .answer(610, 1, "refused")
                .brokenIs();
        events.removeIf(e -> e instanceof BoxStopped);
        setUp(900, "a", "t", 2, "free").turnedAway(902, "t.2").brokenIs(4);
    }

    @Test
    void moreAttemptsThanTheBudgetAreCaught() {
        events.set(0, facts(1.0));
        for (int i = 0; i < 2; i++) {
            ask(i * 100, i, "t" + i, "free")
                    .setUp(10 + i * 100, "a", "t" + i, 1, "free")
                    .turnedAway(12 + i * 100, "t" + i + ".1")
                    .setUp(15 + i * 100, "b", "t" + i, 2, "free")
                    .runs(30 + i * 100, "t" + i + ".2")
                    .answer(40 + i * 100, i, "plays");
        }
        brokenIs(6);
        events.set(0, facts(2.0));
        brokenIs();
    }

    /**
     * A front takes a request some ms after its viewer wrote it: at the edge of the window it still counts.
     */
    @Test
    void aRequestAtTheEdgeOfTheWindowCountsAndAnOlderOneDoesNot() {
        // Spare 0.9, and a tenth of the requests in 10 s: one further attempt needs one request.
        events.set(0, facts(0.95));
        ask(1000, 1, "t", "free")
                .setUp(10_980, "a", "t", 1, "free")
                .turnedAway(10_990, "t.1")
                .setUp(11_030, "b", "t", 2, "free")
                .runs(11_040, "t.2")
                .brokenIs(1);
        events.removeIf(e -> e instanceof SetUp
                || e instanceof AttemptStarted
                || e instanceof SetUpAnswer
                || e instanceof BoxStopped);
        setUp(10_980, "a", "t", 1, "free")
                .turnedAway(10_990, "t.1")
                .setUp(11_200, "b", "t", 2, "free")
                .runs(11_210, "t.2")
                .brokenIs(1, 6);
    }

    /**
     * A move asks anew: its first set-up is none beyond the first, the second is, and it counts as a request.
     */
    @Test
    void aMoveIsARequestOfItsOwn() {
        events.set(0, facts(0.85));
        ask(10, 1, "t", "free")
                .setUp(20, "a", "t", 1, "free")
                .runs(40, "t.1")
                .answer(45, 1, "plays")
                .add(
                        new AttemptEnded(500, "t.1", "released"),
                        new SetUp(520, "b", 0, "t", "t-1.2", "free", "title", 1, false, "t.1"),
                        new SetUpAnswer(522, "t-1.2", 503, "places"))
                .brokenIs();
        events.removeIf(e -> e instanceof BoxStopped);
        add(new SetUp(530, "c", 0, "t", "t-1.3", "free", "title", 1, false, "t.1"))
                .runs(550, "t-1.3")
                .brokenIs();
        events.set(0, facts(0.75));
        events.removeIf(e -> e instanceof BoxStopped);
        brokenIs(6);
    }

    @Test
    void ticketsAreCountedAndPlantedFaultsCaught() {
        paidThatPlays()
                .ask(12, 2, "t", "paid")
                .answer(66, 2, "plays")
                .ask(300, 3, "u", "paid")
                .setUp(310, "a", "u", 1, "paid")
                .add(new AttemptEnded(900, "u.1", "called off"))
                .answer(950, 3, "failed")
                .add(new BoxStopped(1e6, "nowhere", "end"));
        assertEquals(new TokenUsage(3, 0, 2, 1, 1, 1, 1, 1, 1, 0), TokenUsage.of(events));
        assertTrue(TokenUsage.of(events).passed());
        setUp(400, "c", "t", 3, "paid").runs(430, "t.3");
        assertEquals(2, TokenUsage.of(events).maxSpends());
        assertTrue(!TokenUsage.of(events).passed(), "a double spend");
        events.removeIf(e -> e instanceof AttemptStarted ran && ran.key().equals("t.3"));
        assertTrue(TokenUsage.of(events).passed());
        answer(700, 2, "plays");
        assertTrue(!TokenUsage.of(events).passed(), "a double answer");
    }

    @Test
    void recordsAreWrittenAndReadBack(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("tap.jsonl");
        paidThatPlays();
        try (EventRecorder tap = new EventRecorder(file)) {
            events.forEach(tap::record);
            assertEquals(events, tap.events());
        }
        assertEquals(events, EventRecorder.read(file));
    }

    @Test
    void badRecordsAreToldWithTheirLine(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("tap.jsonl");
        for (String bad : List.of("{", "{\"kind\":\"wonder\"}", "null", "[]", "{\"kind\":\"ask\",\"t\":\"x\"}")) {
            Files.writeString(file, "{\"kind\":\"boxDown\",\"t\":1,\"box\":\"a\",\"why\":\"w\"}\n" + bad + "\n");
            String told = assertThrows(IOException.class, () -> EventRecorder.read(file))
                    .getMessage();
            assertTrue(told.contains("tap.jsonl:2: is no record"), told);
        }
        Files.write(file, new byte[] {(byte) 0xff, (byte) 0xfe});
        assertTrue(assertThrows(IOException.class, () -> EventRecorder.read(file))
                .getMessage()
                .contains("UTF-8"));
    }

    @Test
    void recordsWithoutFactsAreNotJudged() {
        assertThrows(IllegalArgumentException.class, () -> RuleChecker.evaluate(List.of(new FrontStopped(1, 0))));
        assertThrows(
                IllegalArgumentException.class,
                () -> RuleChecker.evaluate(List.of(facts(null), new Request(1, 1, 0, "t", "nobody", "title", 100))));
    }
}
