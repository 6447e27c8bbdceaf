package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
    private final List<String> shed = new ArrayList<>();

    @Test
    void theEarliestDeadlineIsServedFirst() {
        AdmissionQueue<String> room = new AdmissionQueue<>(10, 1, 1);
        room.enqueue(0, "late", 300, 1);
        room.enqueue(0, "early", 100, 1);
        room.enqueue(0, "middle", 200, 3);
        assertEquals(
                List.of("early", "middle", "late"),
                List.of(room.poll(0, shed), room.poll(0, shed), room.poll(0, shed)));
        assertNull(room.poll(0, shed));
        assertEquals(List.of(), shed);
    }

    @Test
    void whoCanNotBeServedInTimeIsShedAtOnce() {
        AdmissionQueue<String> room = new AdmissionQueue<>(10, 1, 50);
        assertEquals(List.of("hopeless"), room.enqueue(0, "hopeless", 40, 9));
        room.enqueue(0, "a", 100, 1);
        room.enqueue(0, "b", 500, 1);
        assertEquals("b", room.poll(80, shed));
        assertEquals(List.of("a"), shed);
    }

    @Test
    void whenFullTheLeastWorthGoesAndOfEqualsTheLatest() {
        AdmissionQueue<String> room = new AdmissionQueue<>(2, 1, 1);
        room.enqueue(0, "paid", 300, 3);
        room.enqueue(0, "soon", 100, 1);
        assertEquals(List.of("late"), room.enqueue(0, "late", 200, 1));
        assertEquals(List.of("soon"), room.enqueue(0, "paid too", 400, 3));
        assertEquals(2, room.size());
    }

    @Test
    void whoLeftIsNeitherServedNorShed() {
        AdmissionQueue<String> room = new AdmissionQueue<>(2, 1, 1);
        room.enqueue(0, "a", 300, 3);
        assertTrue(room.cancel("a"));
        assertFalse(room.cancel("a"));
        assertNull(room.poll(0, shed));
        room.enqueue(0, "a", 300, 3);
        assertThrows(IllegalTransitionException.class, () -> room.enqueue(0, "a", 300, 3));
    }

    @Test
    void theWaitFollowsWhatServiceTakes() {
        AdmissionQueue<Integer> room = new AdmissionQueue<>(1000, 2, 1);
        for (int i = 0; i < 200; i++) {
            room.recordServiceTime(4);
        }
        for (int i = 0; i < 100; i++) {
            room.enqueue(0, i, 1e9, 1);
        }
        assertEquals(200, room.estimatedWaitMs(), 1);
    }

    /** Each who comes is served, shed or left, once; the room never holds more than it may. */
    @Property(tries = 500, seed = "20261201")
    void nobodyIsLostOrToldTwice(@ForAll long seed) {
        Random random = new Random(seed);
        AdmissionQueue<Integer> room = new AdmissionQueue<>(8, 2, 5);
        Set<Integer> told = new HashSet<>();
        Set<Integer> waiting = new HashSet<>();
        double now = 0;
        for (int i = 0; i < 200; i++) {
            now += random.nextInt(10);
            List<Integer> gone = new ArrayList<>();
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    waiting.add(i);
                    gone.addAll(room.enqueue(now, i, now + random.nextInt(80), random.nextInt(3)));
                }
                case 2 -> {
                    Integer next = room.poll(now, gone);
                    if (next != null) {
                        gone.add(next);
                    }
                }
                default -> {
                    if (!waiting.isEmpty()) {
                        Integer who = waiting.iterator().next();
                        assertTrue(room.cancel(who));
                        gone.add(who);
                    }
                }
            }
            for (Integer who : gone) {
                assertTrue(waiting.remove(who), "told of nobody, or twice");
                assertTrue(told.add(who));
            }
            assertEquals(waiting.size(), room.size());
            assertTrue(room.size() <= 8);
        }
    }

    /** Goodput under overload: with twice the load that can be served, nearly all service is in time. */
    @Test
    void goodputDoesNotFallUnderOverload() {
        for (int load : new int[] {1, 2, 4, 16}) {
            AdmissionQueue<Integer> room = new AdmissionQueue<>(1000, 1, 2);
            double free = 0;
            int good = 0;
            int served = 0;
            for (int i = 0; i < 4000 * load; i++) {
                double now = i * 2.0 / load;
                while (free <= now) {
                    Integer next = room.poll(free, new ArrayList<>());
                    if (next == null) {
                        free = now + 1e-9;
                        break;
                    }
                    served++;
                    free += 2;
                    good += free <= next * 2.0 / load + 100 ? 1 : 0;
                    room.recordServiceTime(2);
                }
                room.enqueue(now, i, now + 100, 1);
            }
            assertTrue(good > 3800, "load " + load + ": " + good);
            assertTrue(good >= 0.99 * served, "load " + load + ": " + good + " of " + served);
        }
    }
}
