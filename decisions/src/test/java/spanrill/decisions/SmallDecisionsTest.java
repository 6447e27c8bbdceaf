package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.decisions.BoxDirectory.Box;
import spanrill.decisions.PoolPolicy.Choice;

class SmallDecisionsTest {
    private static Box box(String id, ServerState state) {
        return new Box(new Server(id, "a", "std", 0, state, 1, Double.NaN), "127.0.0.1", 1);
    }

    private static BoxDirectory.ListUpdate sheet(ListKind kind, long epoch, long base, long version, Box... boxes) {
        return new BoxDirectory.ListUpdate(kind, epoch, base, version, List.of(boxes));
    }

    @Test
    void changesBuildOnTheVersionHeld() {
        BoxDirectory book = new BoxDirectory(10);
        assertNull(book.apply(sheet(ListKind.CHANGES, 1, 0, 1, box("a", ServerState.READY))));
        assertNotNull(book.apply(sheet(ListKind.WHOLE, 1, -1, 4, box("a", ServerState.READY))));
        assertEquals(4, book.version());
        assertNotNull(book.apply(sheet(ListKind.CHANGES, 1, 4, 6, box("b", ServerState.DRAINING))));
        assertEquals(2, book.activeBoxes().size());
        assertNull(book.apply(sheet(ListKind.CHANGES, 1, 7, 8, box("c", ServerState.READY))), "a gap");
        assertEquals(-1, book.version());
        assertNull(book.box("c"));
    }

    @Test
    void aRegistryThatStartedAnewMustSendTheWhole() {
        BoxDirectory book = new BoxDirectory(10);
        book.apply(sheet(ListKind.WHOLE, 1, -1, 4, box("a", ServerState.READY), box("b", ServerState.READY)));
        assertNull(book.apply(sheet(ListKind.CHANGES, 2, 4, 5, box("a", ServerState.GONE))));
        book.apply(sheet(ListKind.WHOLE, 2, -1, 0, box("a", ServerState.READY)));
        assertNull(book.box("b"));
        assertEquals(2, book.epoch());
    }

    @Test
    void theBookIsBounded() {
        BoxDirectory book = new BoxDirectory(2);
        List<Server> told = book.apply(sheet(
                ListKind.WHOLE,
                1,
                -1,
                1,
                box("a", ServerState.READY),
                box("b", ServerState.GONE),
                box("c", ServerState.READY)));
        assertEquals(2, told.size());
        assertEquals(1, book.activeBoxes().size());
        book.removeIfGone("b");
        assertNull(book.box("b"));
        book.removeIfGone("a");
        assertNotNull(book.box("a"));
    }

    @Test
    void segmentsNeverTakeTheConnectionsOfSetUps() {
        PoolPolicy policy = new PoolPolicy(4, 1, 2);
        assertEquals(Choice.OPEN, policy.choose(false, 0, 2, 0));
        assertEquals(Choice.REUSE, policy.choose(false, 1, 3, 0));
        assertEquals(Choice.WAIT, policy.choose(false, 0, 3, 1));
        assertEquals(Choice.REJECT, policy.choose(false, 0, 3, 2));
        assertEquals(Choice.OPEN, policy.choose(true, 0, 3, 2));
        assertEquals(Choice.REJECT, policy.choose(true, 0, 4, 0));
        // An idle connection within the reserve is not for segments.
        assertEquals(Choice.WAIT, policy.choose(false, 1, 4, 0));
    }

    @Test
    void idleSessionsAreDueInOrderAndOnce() {
        IdleSessionTracker watch = new IdleSessionTracker(100);
        watch.touch(0, "a");
        watch.touch(10, "b");
        watch.touch(50, "a");
        watch.touch(60, "c");
        watch.remove("c");
        assertEquals(List.of("b"), watch.removeIdle(110));
        assertEquals(List.of("a"), watch.removeIdle(150));
        assertEquals(List.of(), watch.removeIdle(1000));
    }

    @Property(tries = 200, seed = "20261201")
    void backoffDoublesWithinItsBounds(@ForAll long seed, @ForAll @IntRange(min = 1, max = 80) int failures) {
        Backoff backoff = new Backoff(10, 1000, seed);
        Backoff same = new Backoff(10, 1000, seed);
        for (int i = 0; i < failures; i++) {
            double wait = backoff.nextDelayMs();
            assertEquals(wait, same.nextDelayMs());
            double whole = Math.min(1000, 10 * Math.pow(2, i));
            assertTrue(wait >= whole / 2 && wait <= whole, wait + " of " + whole);
        }
        backoff.reset();
        assertTrue(backoff.nextDelayMs() <= 10);
    }

    @Property(tries = 200, seed = "20261201")
    void aSegmentIsNeverAboveTheRungInForceNorBelowTheFloor(
            @ForAll @IntRange(max = 9) int asked,
            @ForAll @IntRange(max = 9) int floor,
            @ForAll @IntRange(max = 9) int above) {
        int inForce = floor + above;
        int served = RungLimiter.effectiveRung(asked, inForce, floor);
        assertTrue(served >= floor && served <= inForce);
        assertTrue(asked < floor || asked > inForce || served == asked);
    }
}
