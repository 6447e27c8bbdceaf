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

class EndsAndTimesTest {
    @Test
    void whatAViewerWaitedForComesOutOfItsTime() {
        AnswerDeadline time = new AnswerDeadline(2000, 150);
        assertEquals(1850, time.remainingMs(100, 100));
        assertEquals(1350, time.remainingMs(600, 100));
        assertEquals(1850, time.totalMs());
        assertEquals(1950, time.deadline(100));
        assertTrue(time.guardDelayMs(600, 100) > time.remainingMs(600, 100), "the module is given its time first");
        assertTrue(600 + time.guardDelayMs(600, 100) < 100 + 2000, "and the viewer still waits then");
        assertEquals(0, time.guardDelayMs(9000, 100));
        assertThrows(IllegalArgumentException.class, () -> new AnswerDeadline(150, 150));
        assertThrows(IllegalArgumentException.class, () -> new AnswerDeadline(Double.NaN, 1));
    }

    @Test
    void onlyARefusedMoveBringsAPlayerBack() {
        assertEquals(SessionEnd.REFUSED, SessionEnd.fromFinalAnswer(true, true));
        assertEquals(SessionEnd.MOVE_REFUSED, SessionEnd.fromFinalAnswer(true, false));
        assertEquals(SessionEnd.FAILED, SessionEnd.fromFinalAnswer(false, true));
        assertEquals(SessionEnd.MOVE_FAILED, SessionEnd.fromFinalAnswer(false, false));
        for (SessionEnd end : SessionEnd.values()) {
            assertEquals(end == SessionEnd.MOVE_REFUSED, end.retryAdvice() == SessionEnd.RetryAdvice.RETRY_LATER);
        }
        assertEquals("move-refused", SessionEnd.MOVE_REFUSED.wireName());
    }

    /** Beside a plain map: kept for its time and no longer, the newest are those that stay. */
    @Property(tries = 300, seed = "20261201")
    void whatIsOverIsKeptForItsTime(
            @ForAll List<@IntRange(min = 0, max = 9) Integer> ids, @ForAll @IntRange(min = 1, max = 5) int most) {
        ExpiringMap<Integer> kept = new ExpiringMap<>(100, most);
        Map<String, double[]> plain = new HashMap<>();
        double now = 0;
        for (int i = 0; i < ids.size(); i++) {
            now += ids.get(i) * 7;
            String id = "s" + ids.get(i);
            kept.put(now, id, i);
            plain.put(id, new double[] {now, i});
            assertTrue(kept.size() <= most);
            for (Map.Entry<String, double[]> each : plain.entrySet()) {
                double at = each.getValue()[1];
                long newer =
                        plain.values().stream().filter(other -> other[1] > at).count();
                boolean there = each.getValue()[0] + 100 > now && newer < most;
                assertEquals(there ? (Integer) (int) at : null, kept.get(now, each.getKey()));
            }
        }
        assertNull(kept.get(now + 100, "s0"));
        assertEquals(0, kept.size());
    }
}
