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

/** Decisions of a front about the box list, connection pools, idle sessions, backoff and rungs. */
class FrontDecisionsTest {
    private static Box box(String id, ServerState state) {
        return new Box(new Server(id, "a", "std", 0, state, 1, Double.NaN), "127.0.0.1", 1);
    }

    private static BoxDirectory.ListUpdate update(ListKind kind, long epoch, long base, long version, Box... boxes) {
        return new BoxDirectory.ListUpdate(kind, epoch, base, version, List.of(boxes));
    }

    @Test
    void changesAreAppliedOnlyToTheirBaseVersion() {
        BoxDirectory directory = new BoxDirectory(10);
        assertNull(directory.apply(update(ListKind.CHANGES, 1, 0, 1, box("a", ServerState.READY))));
        assertNotNull(directory.apply(update(ListKind.WHOLE, 1, -1, 4, box("a", ServerState.READY))));
        assertEquals(4, directory.version());
        assertNotNull(directory.apply(update(ListKind.CHANGES, 1, 4, 6, box("b", ServerState.DRAINING))));
        assertEquals(2, directory.activeBoxes().size());
        assertNull(
                directory.apply(update(ListKind.CHANGES, 1, 7, 8, box("c", ServerState.READY))),
                "the base version differs");
        assertEquals(-1, directory.version());
        assertNull(directory.box("c"));
    }

    @Test
    void restartedRegistryMustSendTheWholeList() {
        BoxDirectory directory = new BoxDirectory(10);
        directory.apply(update(ListKind.WHOLE, 1, -1, 4, box("a", ServerState.READY), box("b", ServerState.READY)));
        assertNull(directory.apply(update(ListKind.CHANGES, 2, 4, 5, box("a", ServerState.GONE))));
        directory.apply(update(ListKind.WHOLE, 2, -1, 0, box("a", ServerState.READY)));
        assertNull(directory.box("b"));
        assertEquals(2, directory.epoch());
    }

    @Test
    void directoryIgnoresBoxesAboveItsCapacity() {
        BoxDirectory directory = new BoxDirectory(2);
        List<Server> servers = directory.apply(update(
                ListKind.WHOLE,
                1,
                -1,
                1,
                box("a", ServerState.READY),
                box("b", ServerState.GONE),
                box("c", ServerState.READY)));
        assertEquals(2, servers.size());
        assertEquals(1, directory.activeBoxes().size());
        directory.removeIfGone("b");
        assertNull(directory.box("b"));
        directory.removeIfGone("a");
        assertNotNull(directory.box("a"));
    }

    @Test
    void segmentsNeverUseReservedConnections() {
        PoolPolicy policy = new PoolPolicy(4, 1, 2);
        assertEquals(Choice.OPEN, policy.choose(false, 0, 2, 0));
        assertEquals(Choice.REUSE, policy.choose(false, 1, 3, 0));
        assertEquals(Choice.WAIT, policy.choose(false, 0, 3, 1));
        assertEquals(Choice.REJECT, policy.choose(false, 0, 3, 2));
        assertEquals(Choice.OPEN, policy.choose(true, 0, 3, 2));
        assertEquals(Choice.REJECT, policy.choose(true, 0, 4, 0));
        // Segments must not use an idle connection of the reserve.
        assertEquals(Choice.WAIT, policy.choose(false, 1, 4, 0));
    }

    @Test
    void idleSessionsAreRemovedOnceInOrderOfLastActivity() {
        IdleSessionTracker tracker = new IdleSessionTracker(100);
        tracker.touch(0, "a");
        tracker.touch(10, "b");
        tracker.touch(50, "a");
        tracker.touch(60, "c");
        tracker.remove("c");
        assertEquals(List.of("b"), tracker.removeIdle(110));
        assertEquals(List.of("a"), tracker.removeIdle(150));
        assertEquals(List.of(), tracker.removeIdle(1000));
    }

    @Property(tries = 200, seed = "20261201")
    void backoffDoublesWithinItsBounds(@ForAll long seed, @ForAll @IntRange(min = 1, max = 80) int failures) {
        Backoff backoff = new Backoff(10, 1000, seed);
        Backoff sameSeed = new Backoff(10, 1000, seed);
        for (int i = 0; i < failures; i++) {
            double delayMs = backoff.nextDelayMs();
            assertEquals(delayMs, sameSeed.nextDelayMs());
            double fullDelayMs = Math.min(1000, 10 * Math.pow(2, i));
            assertTrue(delayMs >= fullDelayMs / 2 && delayMs <= fullDelayMs, delayMs + " of " + fullDelayMs);
        }
        backoff.reset();
        assertTrue(backoff.nextDelayMs() <= 10);
    }

    @Property(tries = 200, seed = "20261201")
    void segmentRungIsBetweenTheFloorAndTheRungInForce(
            @ForAll @IntRange(max = 9) int requested,
            @ForAll @IntRange(max = 9) int floor,
            @ForAll @IntRange(max = 9) int above) {
        int inForce = floor + above;
        int served = RungLimiter.effectiveRung(requested, inForce, floor);
        assertTrue(served >= floor && served <= inForce);
        assertTrue(requested < floor || requested > inForce || served == requested);
    }
}
