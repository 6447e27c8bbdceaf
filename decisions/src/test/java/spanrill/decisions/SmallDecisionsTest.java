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
import spanrill.decisions.BoxBook.Box;
import spanrill.decisions.BoxBook.Sheet;
import spanrill.decisions.PoolPolicy.Choice;

class SmallDecisionsTest {
    private static Box box(String id, ServerState state) {
        return new Box(new Server(id, "a", "std", 0, state, 1, Double.NaN), "127.0.0.1", 1);
    }

    private static Sheet sheet(ListKind kind, long epoch, long base, long version, Box... boxes) {
        return new Sheet(kind, epoch, base, version, List.of(boxes));
    }

    @Test
    void changesBuildOnTheVersionHeld() {
        BoxBook book = new BoxBook(10);
        assertNull(book.take(sheet(ListKind.CHANGES, 1, 0, 1, box("a", ServerState.READY))));
        assertNotNull(book.take(sheet(ListKind.WHOLE, 1, -1, 4, box("a", ServerState.READY))));
        assertEquals(4, book.version());
        assertNotNull(book.take(sheet(ListKind.CHANGES, 1, 4, 6, box("b", ServerState.DRAINING))));
        assertEquals(2, book.listed().size());
        assertNull(book.take(sheet(ListKind.CHANGES, 1, 7, 8, box("c", ServerState.READY))), "a gap");
        assertEquals(-1, book.version());
        assertNull(book.box("c"));
    }

    @Test
    void aRegistryThatStartedAnewMustSendTheWhole() {
        BoxBook book = new BoxBook(10);
        book.take(sheet(ListKind.WHOLE, 1, -1, 4, box("a", ServerState.READY), box("b", ServerState.READY)));
        assertNull(book.take(sheet(ListKind.CHANGES, 2, 4, 5, box("a", ServerState.GONE))));
        book.take(sheet(ListKind.WHOLE, 2, -1, 0, box("a", ServerState.READY)));
        assertNull(book.box("b"));
        assertEquals(2, book.epoch());
    }

    @Test
    void theBookIsBounded() {
        BoxBook book = new BoxBook(2);
        List<Server> told = book.take(sheet(
                ListKind.WHOLE,
                1,
                -1,
                1,
                box("a", ServerState.READY),
                box("b", ServerState.GONE),
                box("c", ServerState.READY)));
        assertEquals(2, told.size());
        assertEquals(1, book.listed().size());
        book.forget("b");
        assertNull(book.box("b"));
        book.forget("a");
        assertNotNull(book.box("a"));
    }

    @Test
    void segmentsNeverTakeTheConnectionsOfSetUps() {
        PoolPolicy policy = new PoolPolicy(4, 1, 2);
        assertEquals(Choice.OPEN, policy.choose(false, 0, 2, 0));
        assertEquals(Choice.REUSE, policy.choose(false, 1, 3, 0));
        assertEquals(Choice.WAIT, policy.choose(false, 0, 3, 1));
        assertEquals(Choice.TURN_AWAY, policy.choose(false, 0, 3, 2));
        assertEquals(Choice.OPEN, policy.choose(true, 0, 3, 2));
        assertEquals(Choice.TURN_AWAY, policy.choose(true, 0, 4, 0));
        // An idle connection within the reserve is not for segments.
        assertEquals(Choice.WAIT, policy.choose(false, 1, 4, 0));
    }

    @Test
    void idleSessionsAreDueInOrderAndOnce() {
        IdleWatch watch = new IdleWatch(100);
        watch.seen(0, "a");
        watch.seen(10, "b");
        watch.seen(50, "a");
        watch.seen(60, "c");
        watch.over("c");
        assertEquals(List.of("b"), watch.due(110));
        assertEquals(List.of("a"), watch.due(150));
        assertEquals(List.of(), watch.due(1000));
    }

    @Property(tries = 200, seed = "20261201")
    void backoffDoublesWithinItsBounds(@ForAll long seed, @ForAll @IntRange(min = 1, max = 80) int failures) {
        Backoff backoff = new Backoff(10, 1000, seed);
        Backoff same = new Backoff(10, 1000, seed);
        for (int i = 0; i < failures; i++) {
            double wait = backoff.failed();
            assertEquals(wait, same.failed());
            double whole = Math.min(1000, 10 * Math.pow(2, i));
            assertTrue(wait >= whole / 2 && wait <= whole, wait + " of " + whole);
        }
        backoff.succeeded();
        assertTrue(backoff.failed() <= 10);
    }

    @Property(tries = 200, seed = "20261201")
    void aSegmentIsNeverAboveTheRungInForceNorBelowTheFloor(
            @ForAll @IntRange(max = 9) int asked,
            @ForAll @IntRange(max = 9) int floor,
            @ForAll @IntRange(max = 9) int above) {
        int inForce = floor + above;
        int served = RungGate.serve(asked, inForce, floor);
        assertTrue(served >= floor && served <= inForce);
        assertTrue(asked < floor || asked > inForce || served == asked);
    }
}
