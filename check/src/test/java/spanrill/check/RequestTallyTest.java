package spanrill.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Counts of requests, viewers and early ends for arbitrary records. */
class RequestTallyTest {
    private static final TraceEvent.RunParameters PARAMETERS = new TraceEvent.RunParameters(
            0,
            Map.of("free", new TraceEvent.ClassParameters(false, 0, 0)),
            20,
            250,
            10_000,
            0.5,
            2,
            1500,
            null,
            null,
            null);

    /** Records in any order: answers without a request, losses after answers, fronts that die, stall and restart. */
    @Provide
    Arbitrary<List<TraceEvent>> recordLists() {
        Arbitrary<Double> time = Arbitraries.doubles().between(0, 10_000);
        Arbitrary<Integer> front = Arbitraries.integers().between(0, 2);
        Arbitrary<Long> requestNumber = Arbitraries.longs().between(1, 30);
        Arbitrary<TraceEvent> event = Arbitraries.oneOf(
                Combinators.combine(time, requestNumber, front)
                        .as((t, number, frontNumber) -> new TraceEvent.Answer(
                                t,
                                number,
                                200,
                                List.of("plays", "refused", "failed", "none", "unasked")
                                        .get((frontNumber + number.intValue()) % 5))),
                Combinators.combine(time, requestNumber, front)
                        .as((t, number, frontNumber) -> new TraceEvent.RequestAborted(t, number, frontNumber == 0)),
                Combinators.combine(time, requestNumber).as((t, number) -> new TraceEvent.RequestTimedOut(t, number)),
                Combinators.combine(time, front).as((t, frontNumber) -> new TraceEvent.FrontStopped(t, frontNumber)),
                Combinators.combine(time, front).as((t, frontNumber) -> new TraceEvent.FrontStarted(t, frontNumber)),
                Combinators.combine(time, front)
                        .as((t, frontNumber) -> new TraceEvent.FrontStalled(t, frontNumber, t / 3)),
                Combinators.combine(time, requestNumber)
                        .as((t, number) -> new TraceEvent.ViewerDeparted(t, "v" + number, "left")));
        Arbitrary<List<TraceEvent>> requests = Combinators.combine(
                        time, front, Arbitraries.integers().between(1, 9))
                .as((t, frontNumber, viewerNumber) -> new double[] {t, frontNumber, viewerNumber})
                .list()
                .ofMaxSize(30)
                .map(drawn -> {
                    List<TraceEvent> list = new ArrayList<>();
                    for (double[] values : drawn) {
                        list.add(new TraceEvent.Request(
                                values[0],
                                list.size() + 1,
                                (int) values[1],
                                "v" + (int) values[2] + ".1",
                                "free",
                                "title",
                                3000));
                    }
                    return list;
                });
        return Combinators.combine(requests, event.list().ofMaxSize(60)).as((first, others) -> {
            List<TraceEvent> all = new ArrayList<>(first);
            all.addAll(others);
            return all;
        });
    }

    @Property(tries = 2000, seed = "20261201")
    void countsOfRequestsAndViewersAreConsistent(@ForAll("recordLists") List<TraceEvent> records) {
        RequestTally tally = RequestTally.of(records);
        assertTrue(tally.isConsistent(), tally.toString());
        assertTrue(tally.excused() <= tally.unanswered(), tally.toString());
        assertTrue(ViewerOutcomes.of(records).all().isConsistent());
        // Rule 1 must report every missing answer that the tally does not excuse.
        List<TraceEvent> withParameters = new ArrayList<>(records);
        withParameters.add(0, PARAMETERS);
        long violations = RuleChecker.evaluate(withParameters).get(0).violationCount();
        assertTrue(violations >= tally.unanswered() - tally.excused(), violations + " of " + tally);
    }

    @Test
    void duplicateRequestMakesTheTallyInconsistent() {
        TraceEvent.Request request = new TraceEvent.Request(1, 7, 0, "v.1", "free", "title", 3000);
        assertFalse(RequestTally.of(List.of(request, request)).isConsistent());
    }

    @Test
    void viewerThatIsRefusedAndPlaysLaterCountsAsPlayed() {
        List<TraceEvent> records = List.of(
                new TraceEvent.ViewerArrived(0, "a", "free"),
                new TraceEvent.ViewerArrived(0, "b", "paid"),
                new TraceEvent.ViewerArrived(10, "c", "free"),
                new TraceEvent.ViewerArrived(20, "d", "free"),
                new TraceEvent.Request(5, 1, 0, "a.1", "free", "title", 3000),
                new TraceEvent.Answer(9, 1, 503, "refused"),
                new TraceEvent.Request(2000, 2, 0, "a.2", "free", "title", 3000),
                new TraceEvent.Answer(2040, 2, 200, "plays"),
                new TraceEvent.Request(10, 3, 0, "b.1", "paid", "title", 3000),
                new TraceEvent.Answer(20, 3, 503, "refused"),
                new TraceEvent.ViewerDeparted(20, "b", "refused"),
                new TraceEvent.ViewerDeparted(900, "d", "left"));
        ViewerOutcomes viewers = ViewerOutcomes.of(records);
        assertEquals(new ViewerOutcomes.Group(4, 1, 1, 1, 1, 2040, 2040), viewers.all());
        assertEquals(0, viewers.byClass().get("paid").played());
        assertEquals(Map.of("refused", 1L, "left", 1L), viewers.departuresWithoutPlaying());
        assertEquals(2, viewers.viewers().get(0).requests());
    }

    private static EarlyEnds.Cause causeOf(TraceEvent.SessionBroken broken, TraceEvent... others) {
        List<TraceEvent> records = new ArrayList<>(List.of(
                new TraceEvent.Request(5, 1, 0, "a.1", "free", "title", 3000),
                new TraceEvent.SetUp(10, "box", 0, "a.1", "k", "free", "title", 0, false, null),
                new TraceEvent.AttemptStarted(20, "k"),
                broken));
        records.addAll(List.of(others));
        return EarlyEnds.find(records).get(0).cause();
    }

    @Test
    void causeOfEarlyEndFollowsFromRecordedFailures() {
        TraceEvent.SessionBroken boxGone = new TraceEvent.SessionBroken(5000, "a.1", 0, 410, "box-gone");
        TraceEvent.SessionBroken connectionLost = new TraceEvent.SessionBroken(5000, "a.1", 0, 0, null);
        TraceEvent.SessionBroken patienceLost = new TraceEvent.SessionBroken(5000, "a.1", 0, -1, null);
        assertEquals(EarlyEnds.Cause.BOX, causeOf(boxGone));
        assertEquals(EarlyEnds.Cause.BOX, causeOf(connectionLost, new TraceEvent.BoxStopped(4900, "box", "crash")));
        assertEquals(EarlyEnds.Cause.FRONT, causeOf(connectionLost, new TraceEvent.FrontStopped(4990, 0)));
        assertEquals(EarlyEnds.Cause.HALL, causeOf(patienceLost, new TraceEvent.BoxMuted(3000, "box", true, "east")));
        assertEquals(EarlyEnds.Cause.BOX, causeOf(patienceLost, new TraceEvent.BoxMuted(3000, "box", true, null)));
        assertEquals(
                EarlyEnds.Cause.TOO_SLOW, causeOf(patienceLost, new TraceEvent.BoxStopped(4900, "another", "crash")));
        assertEquals(
                EarlyEnds.Cause.MOVE_REFUSED,
                causeOf(new TraceEvent.SessionBroken(5000, "a.1", 0, 503, "move-refused")));
        assertEquals(
                EarlyEnds.Cause.TAKEN_FOR_GONE, causeOf(new TraceEvent.SessionBroken(5000, "a.1", 0, 410, "idle")));
        assertEquals(EarlyEnds.Cause.OTHER, causeOf(connectionLost));
    }
}
