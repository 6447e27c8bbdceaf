package spanrill.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class VirtualTimeSchedulerTest {
    /** Compares with a list sorted by time and order of scheduling. Every third event is cancelled. */
    @Property(tries = 500, seed = "20261201")
    void eventsRunInOrderOfTimeAndThenOfScheduling(
            @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 40) Integer> times) {
        VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
        List<int[]> expected = new ArrayList<>();
        List<Integer> executed = new ArrayList<>();
        for (int i = 0; i < times.size(); i++) {
            int number = i;
            VirtualTimeScheduler.Entry entry = scheduler.schedule(times.get(i), () -> executed.add(number));
            if (i % 3 == 2) {
                entry.cancel();
            } else if (times.get(i) <= 30) {
                expected.add(new int[] {times.get(i), i});
            }
        }
        expected.sort(Comparator.<int[]>comparingInt(event -> event[0]).thenComparingInt(event -> event[1]));
        scheduler.runUntil(30);
        assertEquals(expected.stream().map(event -> event[1]).toList(), executed);
        assertEquals(30, scheduler.now());
        assertEquals(executed.size(), scheduler.executedCount());
    }

    @Test
    void eventsScheduledByAnEventRunInOrderOfTime() {
        VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
        List<String> executed = new ArrayList<>();
        scheduler.schedule(5, () -> {
            executed.add("a" + scheduler.now());
            scheduler.schedule(0, () -> executed.add("c" + scheduler.now()));
            scheduler.schedule(-3, () -> executed.add("d" + scheduler.now()));
            scheduler.schedule(2, () -> executed.add("e" + scheduler.now()));
        });
        scheduler.schedule(5, () -> executed.add("b" + scheduler.now()));
        scheduler.runUntil(100);
        assertEquals(List.of("a5.0", "b5.0", "c5.0", "d5.0", "e7.0"), executed);
        assertTrue(scheduler.now() == 100);
    }
}
