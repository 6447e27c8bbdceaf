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

/** Counts of requests, viewers and early ends, whatever the records say. */
class TallyTest {
    private static final TraceEvent.RunParameters FACTS = new TraceEvent.RunParameters(
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

    /** Records in any order: answers to nothing, losses after answers, fronts that die, stand and return. */
    @Provide
    Arbitrary<List<TraceEvent>> taps() {
        Arbitrary<Double> t = Arbitraries.doubles().between(0, 10_000);
        Arbitrary<Integer> front = Arbitraries.integers().between(0, 2);
        Arbitrary<Long> ask = Arbitraries.longs().between(1, 30);
        Arbitrary<TraceEvent> event = Arbitraries.oneOf(
                Combinators.combine(t, ask, front)
                        .as((at, a, f) -> new TraceEvent.Answer(
                                at,
                                a,
                                200,
                                List.of("plays", "refused", "failed", "none", "unasked")
                                        .get((f + a.intValue()) % 5))),
                Combinators.combine(t, ask, front).as((at, a, f) -> new TraceEvent.RequestAborted(at, a, f == 0)),
                Combinators.combine(t, ask).as((at, a) -> new TraceEvent.RequestTimedOut(at, a)),
                Combinators.combine(t, front).as((at, f) -> new TraceEvent.FrontStopped(at, f)),
                Combinators.combine(t, front).as((at, f) -> new TraceEvent.FrontStarted(at, f)),
                Combinators.combine(t, front).as((at, f) -> new TraceEvent.FrontStalled(at, f, at / 3)),
                Combinators.combine(t, ask).as((at, a) -> new TraceEvent.ViewerDeparted(at, "v" + a, "left")));
        Arbitrary<List<TraceEvent>> asks = Combinators.combine(
                        t, front, Arbitraries.integers().between(1, 9))
                .as((at, f, v) -> new double[] {at, f, v})
                .list()
                .ofMaxSize(30)
                .map(all -> {
                    List<TraceEvent> made = new ArrayList<>();
                    for (double[] one : all) {
                        made.add(new TraceEvent.Request(
                                one[0],
                                made.size() + 1,
                                (int) one[1],
                                "v" + (int) one[2] + ".1",
                                "free",
                                "title",
                                3000));
                    }
                    return made;
                });
        return Combinators.combine(asks, event.list().ofMaxSize(60)).as((a, more) -> {
            List<TraceEvent> all = new ArrayList<>(a);
            all.addAll(more);
            return all;
        });
    }

    @Property(tries = 2000, seed = "20261201")
    void requestsAndViewersAlwaysAddUp(@ForAll("taps") List<TraceEvent> taps) {
        RequestTally tally = RequestTally.of(taps);
        assertTrue(tally.isConsistent(), tally.toString());
        assertTrue(tally.excused() <= tally.unanswered(), tally.toString());
        assertTrue(ViewerOutcomes.of(taps).all().isConsistent());
        // One judge: what is owed and not answered is what rule 1 says was broken for want of an answer.
        List<TraceEvent> withFacts = new ArrayList<>(taps);
        withFacts.add(0, FACTS);
        long none = RuleChecker.evaluate(withFacts).get(0).violationCount();
        assertTrue(none >= tally.unanswered() - tally.excused(), none + " of " + tally);
    }

    @Test
    void aRequestCountedTwiceIsNoticed() {
        TraceEvent.Request ask = new TraceEvent.Request(1, 7, 0, "v.1", "free", "title", 3000);
        assertFalse(RequestTally.of(List.of(ask, ask)).isConsistent());
    }

    @Test
    void aViewerThatIsRefusedAndPlaysLaterIsNotLost() {
        List<TraceEvent> taps = List.of(
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
        ViewerOutcomes viewers = ViewerOutcomes.of(taps);
        assertEquals(new ViewerOutcomes.Group(4, 1, 1, 1, 1, 2040, 2040), viewers.all());
        assertEquals(0, viewers.byClass().get("paid").played());
        assertEquals(Map.of("refused", 1L, "left", 1L), viewers.departuresWithoutPlaying());
        assertEquals(2, viewers.viewers().get(0).requests());
    }

    private static EarlyEnds.Cause cause(TraceEvent.SessionBroken broke, TraceEvent... more) {
        List<TraceEvent> taps = new ArrayList<>(List.of(
                new TraceEvent.Request(5, 1, 0, "a.1", "free", "title", 3000),
                new TraceEvent.SetUp(10, "box", 0, "a.1", "k", "free", "title", 0, false, null),
                new TraceEvent.AttemptStarted(20, "k"),
                broke));
        taps.addAll(List.of(more));
        return EarlyEnds.find(taps).get(0).cause();
    }

    @Test
    void whyASessionEndedIsToldFromWhatWasDone() {
        TraceEvent.SessionBroken gone = new TraceEvent.SessionBroken(5000, "a.1", 0, 410, "box-gone");
        TraceEvent.SessionBroken lost = new TraceEvent.SessionBroken(5000, "a.1", 0, 0, null);
        TraceEvent.SessionBroken slow = new TraceEvent.SessionBroken(5000, "a.1", 0, -1, null);
        assertEquals(EarlyEnds.Cause.BOX, cause(gone));
        assertEquals(EarlyEnds.Cause.BOX, cause(lost, new TraceEvent.BoxStopped(4900, "box", "crash")));
        assertEquals(EarlyEnds.Cause.FRONT, cause(lost, new TraceEvent.FrontStopped(4990, 0)));
        assertEquals(EarlyEnds.Cause.HALL, cause(slow, new TraceEvent.BoxMuted(3000, "box", true, "east")));
        assertEquals(EarlyEnds.Cause.BOX, cause(slow, new TraceEvent.BoxMuted(3000, "box", true, null)));
        assertEquals(EarlyEnds.Cause.TOO_SLOW, cause(slow, new TraceEvent.BoxStopped(4900, "another", "crash")));
        assertEquals(
                EarlyEnds.Cause.MOVE_REFUSED, cause(new TraceEvent.SessionBroken(5000, "a.1", 0, 503, "move-refused")));
        assertEquals(EarlyEnds.Cause.TAKEN_FOR_GONE, cause(new TraceEvent.SessionBroken(5000, "a.1", 0, 410, "idle")));
        assertEquals(EarlyEnds.Cause.OTHER, cause(lost));
    }
}
