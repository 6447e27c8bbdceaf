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

/** Each rule accepts a run that keeps it, and it alone reports the same run with one violation added. */
class RuleCheckerTest {
    private final List<TraceEvent> events = new ArrayList<>(List.of(parameters(null)));

    private static TraceEvent.RunParameters parameters(Double spareAttempts) {
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
                spareAttempts,
                spareAttempts == null ? null : 0.1,
                spareAttempts == null ? null : 10_000.0);
    }

    private RuleCheckerTest add(TraceEvent... added) {
        events.addAll(List.of(added));
        return this;
    }

    private RuleCheckerTest request(double timeMs, long requestNumber, String token, String serviceClass) {
        return add(new Request(timeMs, requestNumber, 0, token, serviceClass, "title", 3000));
    }

    private RuleCheckerTest setUp(double timeMs, String box, String token, int attempt, String serviceClass) {
        return add(new SetUp(
                timeMs,
                box,
                0,
                token,
                token + "." + attempt,
                serviceClass,
                "title",
                1,
                serviceClass.equals("paid"),
                null));
    }

    private RuleCheckerTest boxStarts(double timeMs, String key) {
        return add(new AttemptStarted(timeMs, key), new SetUpAnswer(timeMs, key, 200, null));
    }

    private RuleCheckerTest boxRejects(double timeMs, String key) {
        return add(new SetUpAnswer(timeMs, key, 503, "places"));
    }

    private RuleCheckerTest answer(double timeMs, long requestNumber, String answer) {
        return add(new Answer(timeMs, requestNumber, 200, answer));
    }

    private void assertViolatedRules(int... rules) {
        // Ends the records late enough that every pending answer is overdue.
        add(new BoxStopped(1e6, "nowhere", "end"));
        List<Integer> violated = RuleChecker.evaluate(events).stream()
                .filter(v -> !v.passed())
                .map(Verdict::rule)
                .toList();
        assertEquals(java.util.Arrays.stream(rules).boxed().toList(), violated);
    }

    private RuleCheckerTest paidSessionThatPlays() {
        return request(10, 1, "t", "paid")
                .setUp(20, "a", "t", 1, "paid")
                .boxRejects(25, "t.1")
                .setUp(30, "b", "t", 2, "paid")
                .boxStarts(60, "t.2")
                .answer(65, 1, "plays");
    }

    @Test
    void runWithoutViolationsPassesAllRules() {
        paidSessionThatPlays()
                .add(new SegmentReceived(100, "t", 0, 2, 10, 5), new AttemptEnded(500, "t.2", "released"))
                .assertViolatedRules();
    }

    @Test
    void secondAnswerIsReported() {
        paidSessionThatPlays().answer(70, 1, "refused").assertViolatedRules(1, 2);
    }

    @Test
    void unsolicitedSecondAnswerIsReported() {
        paidSessionThatPlays().answer(70, 1, "unasked").assertViolatedRules(1);
    }

    @Test
    void missingAndLateAnswersAreReported() {
        request(10, 1, "t", "free").assertViolatedRules(1);
        events.remove(events.size() - 1);
        answer(3020, 1, "refused").assertViolatedRules(1);
    }

    @Test
    void lostConnectionIsReportedUnlessViewerLeftOrFrontDied() {
        request(10, 1, "t", "free").add(new RequestAborted(50, 1, true)).assertViolatedRules();
        request(10, 2, "u", "free").add(new RequestAborted(50, 2, false)).assertViolatedRules(1);
        add(new FrontStopped(45, 0)).assertViolatedRules();
    }

    @Test
    void stallOfTheFrontExtendsTheDeadline() {
        request(10, 1, "t", "free")
                .answer(3900, 1, "plays")
                .add(new FrontStalled(500, 0, 1000))
                .assertViolatedRules();
    }

    @Test
    void stalledFrontMustAnswerViewerThatWaitsPastTheExtendedDeadline() {
        // A stall of 3 s, as long as the patience: the viewer has left when the front resumes.
        request(10, 1, "t", "free")
                .add(new FrontStalled(500, 0, 3000), new RequestTimedOut(3210, 1))
                .assertViolatedRules();
        // A stall of 100 ms: the viewer that waited 200 ms beyond its patience should have received an answer.
        events.removeIf(e -> !(e instanceof TraceEvent.RunParameters));
        request(10, 1, "t", "free")
                .add(new FrontStalled(500, 0, 100), new RequestTimedOut(3210, 1))
                .assertViolatedRules(1);
        assertEquals(1, RequestTally.of(events).unanswered());
        assertEquals(0, RequestTally.of(events).excused());
    }

    @Test
    void requestLostWithItsFrontIsCountedOnce() {
        request(10, 1, "t", "free")
                .request(20, 2, "u", "free")
                .request(30, 3, "v", "free")
                .answer(60, 1, "plays")
                .add(new FrontStopped(70, 0), new RequestAborted(72, 2, false))
                .assertViolatedRules();
        RequestTally tally = RequestTally.of(events);
        assertEquals(new RequestTally(3, 1, 0, 0, 0, 0, 0, 0, 2), tally);
        assertTrue(tally.isConsistent());
    }

    @Test
    void paidSetUpRepeatedAfterTimeOutIsReported() {
        request(10, 1, "t", "paid")
                .setUp(20, "a", "t", 1, "paid")
                .add(new AttemptEnded(1000, "t.1", "called off"))
                .setUp(1001, "b", "t", 2, "paid")
                .boxStarts(1030, "t.2")
                .answer(1040, 1, "plays")
                .assertViolatedRules(2);
    }

    @Test
    void cancellationBeforeTheStartProvesThatTheAttemptDidNotRun() {
        request(10, 1, "t", "paid")
                .setUp(20, "a", "t", 1, "paid")
                .add(new CancelAnswer(100, "t.1", false))
                .setUp(110, "b", "t", 2, "paid")
                .boxStarts(160, "t.2")
                .answer(165, 1, "plays")
                .assertViolatedRules();
        add(new AttemptStarted(150, "t.1")).assertViolatedRules(2);
    }

    @Test
    void proofAfterTheNextSetUpIsTooLate() {
        request(10, 1, "t", "paid")
                .setUp(20, "a", "t", 1, "paid")
                .add(new AttemptEnded(90, "t.1", "called off"))
                .setUp(110, "b", "t", 2, "paid")
                .add(new CancelAnswer(120, "t.1", false))
                .boxStarts(160, "t.2")
                .answer(165, 1, "plays")
                .assertViolatedRules(2);
    }

    @Test
    void refusalOfPaidRequestThatMayHaveRunIsReported() {
        request(10, 1, "t", "paid")
                .setUp(20, "a", "t", 1, "paid")
                .add(new AttemptEnded(1000, "t.1", "called off"))
                .answer(1040, 1, "refused")
                .assertViolatedRules(2);
    }

    @Test
    void failureOfPaidRequestThatMayHaveRunIsAllowed() {
        request(10, 1, "t", "paid")
                .setUp(20, "a", "t", 1, "paid")
                .add(new AttemptEnded(1000, "t.1", "called off"))
                .answer(1040, 1, "failed")
                .assertViolatedRules();
    }

    @Test
    void continuationOfUnknownAttemptIsReported() {
        request(10, 1, "t", "paid")
                .add(new SetUp(20, "a", 0, "t", "t.1", "paid", "title", 1, false, "t.0"))
                .boxStarts(30, "t.1")
                .answer(40, 1, "plays")
                .assertViolatedRules(2);
    }

    @Test
    void moveOfEstablishedSessionIsAllowed() {
        paidSessionThatPlays()
                .add(
                        new AttemptEnded(900, "t.2", "released"),
                        new SetUp(950, "c", 0, "t", "t.3", "paid", "title", 1, false, "t.2"))
                .boxStarts(990, "t.3")
                .assertViolatedRules();
    }

    @Test
    void twoActiveAttemptsAreReported() {
        request(10, 1, "t", "free")
                .setUp(20, "a", "t", 1, "free")
                .setUp(30, "b", "t", 2, "free")
                .boxStarts(60, "t.2")
                .answer(65, 1, "plays")
                .add(new AttemptEnded(400, "t.1", "called off"))
                .assertViolatedRules(3);
    }

    @Test
    void attemptAtMuteBoxIsNotChecked() {
        request(10, 1, "t", "free")
                .add(new BoxMuted(15, "a", true, null))
                .setUp(20, "a", "t", 1, "free")
                .setUp(700, "b", "t", 2, "free")
                .boxStarts(760, "t.2")
                .answer(765, 1, "plays")
                .assertViolatedRules();
    }

    @Test
    void setUpAfterDrainGraceIsReported() {
        add(new BoxStateSent(100, 0, "a", "draining", 0))
                .request(310, 1, "t", "free")
                .setUp(349, "a", "t", 1, "free")
                .boxStarts(380, "t.1")
                .answer(390, 1, "plays")
                .assertViolatedRules();
        request(400, 2, "u", "free")
                .setUp(420, "a", "u", 1, "free")
                .boxStarts(440, "u.1")
                .answer(450, 2, "plays")
                .assertViolatedRules(4);
    }

    @Test
    void setUpAtBoxThatIsReadyAgainIsAllowed() {
        add(new BoxStateSent(100, 0, "a", "gone", 0), new BoxStateSent(800, 0, "a", "ready", 700))
                .request(900, 1, "t", "free")
                .setUp(950, "a", "t", 1, "free")
                .boxStarts(980, "t.1")
                .answer(990, 1, "plays")
                .assertViolatedRules();
    }

    /**
     * Adds set-ups at a cold box. The budget is 2 x 20 places / 10 s x 0.5 (cold share) x 1.5 s plus a slack of two, so
     * nine set-ups are too many if the front was notified of the start.
     */
    private RuleCheckerTest coldBoxSetUps(boolean notified, int count) {
        add(new BoxStarted(100, "a", true));
        if (notified) {
            add(new BoxStateSent(150, 0, "a", "ready", 100));
        }
        for (int i = 0; i < count; i++) {
            request(200 + i, i, "t" + i, "free")
                    .setUp(210 + i, "a", "t" + i, 1, "free")
                    .boxStarts(230 + i, "t" + i + ".1")
                    .answer(240 + i, i, "plays");
        }
        return this;
    }

    @Test
    void setUpsAboveTheColdBudgetAreReported() {
        coldBoxSetUps(true, 9).assertViolatedRules(5);
    }

    @Test
    void setUpsByUninformedFrontOrWithinTheColdBudgetAreAllowed() {
        coldBoxSetUps(false, 9).assertViolatedRules();
        events.subList(1, events.size()).clear();
        coldBoxSetUps(true, 5).assertViolatedRules();
    }

    @Test
    void rungBelowTheFloorIsReportedForSegmentRungAndSetUp() {
        paidSessionThatPlays().add(new SegmentReceived(100, "t", 0, 0, 10, 5)).assertViolatedRules(5);
        events.removeIf(e -> e instanceof SegmentReceived);
        add(new RungChanged(100, "t.2", 0)).assertViolatedRules(5);
        events.removeIf(e -> e instanceof RungChanged);
        request(110, 2, "u", "paid")
                .add(new SetUp(120, "b", 0, "u", "u.1", "paid", "title", 0, true, null))
                .boxRejects(130, "u.1")
                .answer(140, 2, "refused")
                .assertViolatedRules(5);
    }

    @Test
    void sessionsAboveTheSeatsAreReported() {
        for (int i = 0; i < 3; i++) {
            request(i * 100, i, "t" + i, "paid")
                    .setUp(10 + i * 100, "a", "t" + i, 1, "paid")
                    .boxStarts(30 + i * 100, "t" + i + ".1")
                    .answer(40 + i * 100, i, "plays");
        }
        assertViolatedRules(5);
        add(new AttemptEnded(150, "t0.1", "released")).assertViolatedRules();
    }

    @Test
    void setUpUnreadAtMuteBoxIsNotCountedAsSentAfterTheDrain() {
        request(10, 1, "t", "free")
                .add(
                        new BoxStateSent(100, 0, "a", "draining", 0),
                        new BoxMuted(50, "a", true, "east"),
                        new BoxMuted(600, "a", false, "east"))
                .setUp(601, "a", "t", 1, "free")
                .boxRejects(602, "t.1")
                .answer(610, 1, "refused")
                .assertViolatedRules();
        events.removeIf(e -> e instanceof BoxStopped);
        setUp(900, "a", "t", 2, "free").boxRejects(902, "t.2").assertViolatedRules(4);
    }

    @Test
    void attemptsAboveTheBudgetAreReported() {
        events.set(0, parameters(1.0));
        for (int i = 0; i < 2; i++) {
            request(i * 100, i, "t" + i, "free")
                    .setUp(10 + i * 100, "a", "t" + i, 1, "free")
                    .boxRejects(12 + i * 100, "t" + i + ".1")
                    .setUp(15 + i * 100, "b", "t" + i, 2, "free")
                    .boxStarts(30 + i * 100, "t" + i + ".2")
                    .answer(40 + i * 100, i, "plays");
        }
        assertViolatedRules(6);
        events.set(0, parameters(2.0));
        assertViolatedRules();
    }

    /**
     * A front accepts a request some ms after its viewer wrote the request, so a request at the edge of the window
     * still counts.
     */
    @Test
    void requestAtTheEdgeOfTheWindowCountsAndOlderRequestDoesNot() {
        // 0.95 spare attempts and 0.1 per request in 10 s: one further attempt needs one request.
        events.set(0, parameters(0.95));
        request(1000, 1, "t", "free")
                .setUp(10_980, "a", "t", 1, "free")
                .boxRejects(10_990, "t.1")
                .setUp(11_030, "b", "t", 2, "free")
                .boxStarts(11_040, "t.2")
                .assertViolatedRules(1);
        events.removeIf(e -> e instanceof SetUp
                || e instanceof AttemptStarted
                || e instanceof SetUpAnswer
                || e instanceof BoxStopped);
        setUp(10_980, "a", "t", 1, "free")
                .boxRejects(10_990, "t.1")
                .setUp(11_200, "b", "t", 2, "free")
                .boxStarts(11_210, "t.2")
                .assertViolatedRules(1, 6);
    }

    /**
     * A move counts as a request: its first set-up is not a further attempt, whereas its second one is.
     */
    @Test
    void moveCountsAsRequest() {
        events.set(0, parameters(0.85));
        request(10, 1, "t", "free")
                .setUp(20, "a", "t", 1, "free")
                .boxStarts(40, "t.1")
                .answer(45, 1, "plays")
                .add(
                        new AttemptEnded(500, "t.1", "released"),
                        new SetUp(520, "b", 0, "t", "t-1.2", "free", "title", 1, false, "t.1"),
                        new SetUpAnswer(522, "t-1.2", 503, "places"))
                .assertViolatedRules();
        events.removeIf(e -> e instanceof BoxStopped);
        add(new SetUp(530, "c", 0, "t", "t-1.3", "free", "title", 1, false, "t.1"))
                .boxStarts(550, "t-1.3")
                .assertViolatedRules();
        events.set(0, parameters(0.75));
        events.removeIf(e -> e instanceof BoxStopped);
        assertViolatedRules(6);
    }

    @Test
    void tokenUsageCountsAnswersAndSpendsAndFailsOnDuplicates() {
        paidSessionThatPlays()
                .request(12, 2, "t", "paid")
                .answer(66, 2, "plays")
                .request(300, 3, "u", "paid")
                .setUp(310, "a", "u", 1, "paid")
                .add(new AttemptEnded(900, "u.1", "called off"))
                .answer(950, 3, "failed")
                .add(new BoxStopped(1e6, "nowhere", "end"));
        assertEquals(new TokenUsage(3, 0, 2, 1, 1, 1, 1, 1, 1, 0), TokenUsage.of(events));
        assertTrue(TokenUsage.of(events).passed());
        setUp(400, "c", "t", 3, "paid").boxStarts(430, "t.3");
        assertEquals(2, TokenUsage.of(events).maxSpends());
        assertTrue(!TokenUsage.of(events).passed(), "a double spend");
        events.removeIf(e -> e instanceof AttemptStarted ran && ran.key().equals("t.3"));
        assertTrue(TokenUsage.of(events).passed());
        answer(700, 2, "plays");
        assertTrue(!TokenUsage.of(events).passed(), "a double answer");
    }

    @Test
    void recordsAreReadBackAsWritten(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("tap.jsonl");
        paidSessionThatPlays();
        try (EventRecorder recorder = new EventRecorder(file)) {
            events.forEach(recorder::record);
            assertEquals(events, recorder.events());
        }
        assertEquals(events, EventRecorder.read(file));
    }

    @Test
    void invalidRecordIsReportedWithItsLine(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("tap.jsonl");
        for (String invalidLine :
                List.of("{", "{\"kind\":\"wonder\"}", "null", "[]", "{\"kind\":\"ask\",\"t\":\"x\"}")) {
            Files.writeString(
                    file, "{\"kind\":\"boxDown\",\"t\":1,\"box\":\"a\",\"why\":\"w\"}\n" + invalidLine + "\n");
            String message = assertThrows(IOException.class, () -> EventRecorder.read(file))
                    .getMessage();
            assertTrue(message.contains("tap.jsonl:2: is no record"), message);
        }
        Files.write(file, new byte[] {(byte) 0xff, (byte) 0xfe});
        assertTrue(assertThrows(IOException.class, () -> EventRecorder.read(file))
                .getMessage()
                .contains("UTF-8"));
    }

    @Test
    void recordsWithoutParametersOrWithUnknownClassAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> RuleChecker.evaluate(List.of(new FrontStopped(1, 0))));
        assertThrows(
                IllegalArgumentException.class,
                () -> RuleChecker.evaluate(
                        List.of(parameters(null), new Request(1, 1, 0, "t", "nobody", "title", 100))));
    }
}
