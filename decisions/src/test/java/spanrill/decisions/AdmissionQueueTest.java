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
    void requestsAreServedInOrderOfDeadline() {
        AdmissionQueue<String> queue = new AdmissionQueue<>(10, 1, 1);
        queue.enqueue(0, "late", 300, 1);
        queue.enqueue(0, "early", 100, 1);
        queue.enqueue(0, "middle", 200, 3);
        assertEquals(
                List.of("early", "middle", "late"),
                List.of(queue.poll(0, shed), queue.poll(0, shed), queue.poll(0, shed)));
        assertNull(queue.poll(0, shed));
        assertEquals(List.of(), shed);
    }

    @Test
    void requestIsShedWhenItsDeadlineCannotBeMet() {
        AdmissionQueue<String> queue = new AdmissionQueue<>(10, 1, 50);
        assertEquals(List.of("hopeless"), queue.enqueue(0, "hopeless", 40, 9));
        queue.enqueue(0, "a", 100, 1);
        queue.enqueue(0, "b", 500, 1);
        assertEquals("b", queue.poll(80, shed));
        assertEquals(List.of("a"), shed);
    }

    @Test
    void fullQueueShedsLowestWorthThenLatestDeadline() {
        AdmissionQueue<String> queue = new AdmissionQueue<>(2, 1, 1);
        queue.enqueue(0, "paid", 300, 3);
        queue.enqueue(0, "soon", 100, 1);
        assertEquals(List.of("late"), queue.enqueue(0, "late", 200, 1));
        assertEquals(List.of("soon"), queue.enqueue(0, "paid too", 400, 3));
        assertEquals(2, queue.size());
    }

    @Test
    void cancelledRequestIsNeitherServedNorShed() {
        AdmissionQueue<String> queue = new AdmissionQueue<>(2, 1, 1);
        queue.enqueue(0, "a", 300, 3);
        assertTrue(queue.cancel("a"));
        assertFalse(queue.cancel("a"));
        assertNull(queue.poll(0, shed));
        queue.enqueue(0, "a", 300, 3);
        assertThrows(IllegalTransitionException.class, () -> queue.enqueue(0, "a", 300, 3));
    }

    @Test
    void estimatedWaitFollowsMeasuredServiceTime() {
        AdmissionQueue<Integer> queue = new AdmissionQueue<>(1000, 2, 1);
        for (int i = 0; i < 200; i++) {
            queue.recordServiceTime(4);
        }
        for (int i = 0; i < 100; i++) {
            queue.enqueue(0, i, 1e9, 1);
        }
        assertEquals(200, queue.estimatedWaitMs(), 1);
    }

    /** Each request is served, shed or cancelled exactly once, and the queue never exceeds its capacity. */
    @Property(tries = 500, seed = "20261201")
    void everyRequestLeavesTheQueueExactlyOnce(@ForAll long seed) {
        Random random = new Random(seed);
        AdmissionQueue<Integer> queue = new AdmissionQueue<>(8, 2, 5);
        Set<Integer> finished = new HashSet<>();
        Set<Integer> waiting = new HashSet<>();
        double now = 0;
        for (int i = 0; i < 200; i++) {
            now += random.nextInt(10);
            List<Integer> removed = new ArrayList<>();
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    waiting.add(i);
                    removed.addAll(queue.enqueue(now, i, now + random.nextInt(80), random.nextInt(3)));
                }
                case 2 -> {
                    Integer next = queue.poll(now, removed);
                    if (next != null) {
                        removed.add(next);
                    }
                }
                default -> {
                    if (!waiting.isEmpty()) {
                        Integer cancelled = waiting.iterator().next();
                        assertTrue(queue.cancel(cancelled));
                        removed.add(cancelled);
                    }
                }
            }
            for (Integer request : removed) {
                assertTrue(waiting.remove(request), "a request that does not wait was removed");
                assertTrue(finished.add(request));
            }
            assertEquals(waiting.size(), queue.size());
            assertTrue(queue.size() <= 8);
        }
    }

    /** With up to 16 times the load that can be served, nearly all served requests still meet their deadline. */
    @Test
    void goodputDoesNotFallUnderOverload() {
        for (int load : new int[] {1, 2, 4, 16}) {
            AdmissionQueue<Integer> queue = new AdmissionQueue<>(1000, 1, 2);
            double workerFreeAt = 0;
            int inTime = 0;
            int served = 0;
            for (int i = 0; i < 4000 * load; i++) {
                double now = i * 2.0 / load;
                while (workerFreeAt <= now) {
                    Integer next = queue.poll(workerFreeAt, new ArrayList<>());
                    if (next == null) {
                        workerFreeAt = now + 1e-9;
                        break;
                    }
                    served++;
                    workerFreeAt += 2;
                    inTime += workerFreeAt <= next * 2.0 / load + 100 ? 1 : 0;
                    queue.recordServiceTime(2);
                }
                queue.enqueue(now, i, now + 100, 1);
            }
            assertTrue(inTime > 3800, "load " + load + ": " + inTime);
            assertTrue(inTime >= 0.99 * served, "load " + load + ": " + inTime + " of " + served);
        }
    }
}
