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
    private static final TapEvent.Facts FACTS = new TapEvent.Facts(
            0, Map.of("free", new TapEvent.ClassFacts(false, 0, 0)), 20, 250, 10_000, 0.5, 2, 1500, null, null, null);

    /** Records in any order: answers to nothing, losses after answers, fronts that die, stand and return. */
    @Provide
    Arbitrary<List<TapEvent>> taps() {
        Arbitrary<Double> t = Arbitraries.doubles().between(0, 10_000);
        Arbitrary<Integer> front = Arbitraries.integers().between(0, 2);
        Arbitrary<Long> ask = Arbitraries.longs().between(1, 30);
        Arbitrary<TapEvent> event = Arbitraries.oneOf(
                Combinators.combine(t, ask, front)
                        .as((at, a, f) -> new TapEvent.Answer(
                                at,
                                a,
                                200,
                                List.of("plays", "refused", "failed", "none", "unasked")
                                        .get((f + a.intValue()) % 5))),
                Combinators.combine(t, ask, front).as((at, a, f) -> new TapEvent.AskLost(at, a, f == 0)),
                Combinators.combine(t, ask).as((at, a) -> new TapEvent.NoAnswer(at, a)),
                Combinators.combine(t, front).as((at, f) -> new TapEvent.FrontDown(at, f)),
                Combinators.combine(t, front).as((at, f) -> new TapEvent.FrontUp(at, f)),
                Combinators.combine(t, front).as((at, f) -> new TapEvent.FrontStall(at, f, at / 3)),
                Combinators.combine(t, ask).as((at, a) -> new TapEvent.Went(at, "v" + a, "left")));
        Arbitrary<List<TapEvent>> asks = Combinators.combine(
                        t, front, Arbitraries.integers().between(1, 9))
                .as((at, f, v) -> new double[] {at, f, v})
                .list()
                .ofMaxSize(30)
                .map(all -> {
                    List<TapEvent> made = new ArrayList<>();
                    for (double[] one : all) {
                        made.add(new TapEvent.Ask(
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
            List<TapEvent> all = new ArrayList<>(a);
            all.addAll(more);
            return all;
        });
    }

    @Property(tries = 2000, seed = "20261201")
    void requestsAndViewersAlwaysAddUp(@ForAll("taps") List<TapEvent> taps) {
        Tally tally = Tally.of(taps);
        assertTrue(tally.addsUp(), tally.toString());
        assertTrue(tally.excused() <= tally.unanswered(), tally.toString());
        assertTrue(Viewers.of(taps).all().addsUp());
        // One judge: what is owed and not answered is what rule 1 says was broken for want of an answer.
        List<TapEvent> withFacts = new ArrayList<>(taps);
        withFacts.add(0, FACTS);
        long none = Checker.judge(withFacts).get(0).brokenCount();
        assertTrue(none >= tally.unanswered() - tally.excused(), none + " of " + tally);
    }

    @Test
    void aRequestCountedTwiceIsNoticed() {
        TapEvent.Ask ask = new TapEvent.Ask(1, 7, 0, "v.1", "free", "title", 3000);
        assertFalse(Tally.of(List.of(ask, ask)).addsUp());
    }

    @Test
    void aViewerThatIsRefusedAndPlaysLaterIsNotLost() {
        List<TapEvent> taps = List.of(
                new TapEvent.Came(0, "a", "free"),
                new TapEvent.Came(0, "b", "paid"),
                new TapEvent.Came(10, "c", "free"),
                new TapEvent.Came(20, "d", "free"),
                new TapEvent.Ask(5, 1, 0, "a.1", "free", "title", 3000),
                new TapEvent.Answer(9, 1, 503, "refused"),
                new TapEvent.Ask(2000, 2, 0, "a.2", "free", "title", 3000),
                new TapEvent.Answer(2040, 2, 200, "plays"),
                new TapEvent.Ask(10, 3, 0, "b.1", "paid", "title", 3000),
                new TapEvent.Answer(20, 3, 503, "refused"),
                new TapEvent.Went(20, "b", "refused"),
                new TapEvent.Went(900, "d", "left"));
        Viewers viewers = Viewers.of(taps);
        assertEquals(new Viewers.Group(4, 1, 1, 1, 1, 2040, 2040), viewers.all());
        assertEquals(0, viewers.byClass().get("paid").played());
        assertEquals(Map.of("refused", 1L, "left", 1L), viewers.wentWithoutPlaying());
        assertEquals(2, viewers.each().get(0).asks());
    }

    private static EarlyEnds.Cause cause(TapEvent.Broke broke, TapEvent... more) {
        List<TapEvent> taps = new ArrayList<>(List.of(
                new TapEvent.Ask(5, 1, 0, "a.1", "free", "title", 3000),
                new TapEvent.SetUp(10, "box", 0, "a.1", "k", "free", "title", 0, false, null),
                new TapEvent.Ran(20, "k"),
                broke));
        taps.addAll(List.of(more));
        return EarlyEnds.of(taps).get(0).cause();
    }

    @Test
    void whyASessionEndedIsToldFromWhatWasDone() {
        TapEvent.Broke gone = new TapEvent.Broke(5000, "a.1", 0, 410, "box-gone");
        TapEvent.Broke lost = new TapEvent.Broke(5000, "a.1", 0, 0, null);
        TapEvent.Broke slow = new TapEvent.Broke(5000, "a.1", 0, -1, null);
        assertEquals(EarlyEnds.Cause.BOX, cause(gone));
        assertEquals(EarlyEnds.Cause.BOX, cause(lost, new TapEvent.BoxDown(4900, "box", "crash")));
        assertEquals(EarlyEnds.Cause.FRONT, cause(lost, new TapEvent.FrontDown(4990, 0)));
        assertEquals(EarlyEnds.Cause.HALL, cause(slow, new TapEvent.BoxMute(3000, "box", true, "east")));
        assertEquals(EarlyEnds.Cause.BOX, cause(slow, new TapEvent.BoxMute(3000, "box", true, null)));
        assertEquals(EarlyEnds.Cause.TOO_SLOW, cause(slow, new TapEvent.BoxDown(4900, "another", "crash")));
        assertEquals(EarlyEnds.Cause.MOVE_REFUSED, cause(new TapEvent.Broke(5000, "a.1", 0, 503, "move-refused")));
        assertEquals(EarlyEnds.Cause.TAKEN_FOR_GONE, cause(new TapEvent.Broke(5000, "a.1", 0, 410, "idle")));
        assertEquals(EarlyEnds.Cause.OTHER, cause(lost));
    }
}
