package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SessionTimingTest {
    @Test
    void timeBeforeTheModuleReducesItsShareOfThePatience() {
        AnswerDeadline deadline = new AnswerDeadline(2000, 150);
        assertEquals(1850, deadline.remainingMs(100, 100));
        assertEquals(1350, deadline.remainingMs(600, 100));
        assertEquals(1850, deadline.totalMs());
        assertEquals(1950, deadline.deadline(100));
        assertTrue(
                deadline.guardDelayMs(600, 100) > deadline.remainingMs(600, 100),
                "the guard waits for the end of the module's time");
        assertTrue(600 + deadline.guardDelayMs(600, 100) < 100 + 2000, "the viewer still waits when the guard answers");
        assertEquals(0, deadline.guardDelayMs(9000, 100));
        assertThrows(IllegalArgumentException.class, () -> new AnswerDeadline(150, 150));
        assertThrows(IllegalArgumentException.class, () -> new AnswerDeadline(Double.NaN, 1));
    }

    @Test
    void onlyARefusedMoveAdvisesThePlayerToRetry() {
        assertEquals(SessionEnd.REFUSED, SessionEnd.fromFinalAnswer(true, true));
        assertEquals(SessionEnd.MOVE_REFUSED, SessionEnd.fromFinalAnswer(true, false));
        assertEquals(SessionEnd.FAILED, SessionEnd.fromFinalAnswer(false, true));
        assertEquals(SessionEnd.MOVE_FAILED, SessionEnd.fromFinalAnswer(false, false));
        for (SessionEnd end : SessionEnd.values()) {
            assertEquals(end == SessionEnd.MOVE_REFUSED, end.retryAdvice() == SessionEnd.RetryAdvice.RETRY_LATER);
        }
        assertEquals("move-refused", SessionEnd.MOVE_REFUSED.wireName());
    }

    /** Compared with a plain map: an entry is kept for its lifetime unless newer entries fill the capacity. */
    @Property(tries = 300, seed = "20261201")
    void expiringMapKeepsTheNewestEntriesForTheirLifetime(
            @ForAll List<@IntRange(min = 0, max = 9) Integer> ids, @ForAll @IntRange(min = 1, max = 5) int capacity) {
        ExpiringMap<Integer> map = new ExpiringMap<>(100, capacity);
        Map<String, double[]> reference = new HashMap<>();
        double now = 0;
        for (int i = 0; i < ids.size(); i++) {
            now += ids.get(i) * 7;
            String id = "s" + ids.get(i);
            map.put(now, id, i);
            reference.put(id, new double[] {now, i});
            assertTrue(map.size() <= capacity);
            for (Map.Entry<String, double[]> entry : reference.entrySet()) {
                double value = entry.getValue()[1];
                long newer = reference.values().stream()
                        .filter(other -> other[1] > value)
                        .count();
                boolean present = entry.getValue()[0] + 100 > now && newer < capacity;
                assertEquals(present ? (Integer) (int) value : null, map.get(now, entry.getKey()));
            }
        }
        assertNull(map.get(now + 100, "s0"));
        assertEquals(0, map.size());
    }
}
