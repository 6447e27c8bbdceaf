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
    /** Beside a list that is sorted by time and order of setting; every third event is cancelled. */
    @Property(tries = 500, seed = "20261201")
    void eventsRunInOrderOfTimeAndThenOfSetting(
            @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 40) Integer> times) {
        VirtualTimeScheduler agenda = new VirtualTimeScheduler();
        List<int[]> expected = new ArrayList<>();
        List<Integer> ran = new ArrayList<>();
        for (int i = 0; i < times.size(); i++) {
            int number = i;
            VirtualTimeScheduler.Entry entry = agenda.schedule(times.get(i), () -> ran.add(number));
            if (i % 3 == 2) {
                entry.cancel();
            } else if (times.get(i) <= 30) {
                expected.add(new int[] {times.get(i), i});
            }
        }
        expected.sort(Comparator.<int[]>comparingInt(e -> e[0]).thenComparingInt(e -> e[1]));
        agenda.runUntil(30);
        assertEquals(expected.stream().map(e -> e[1]).toList(), ran);
        assertEquals(30, agenda.now());
        assertEquals(ran.size(), agenda.executedCount());
    }

    @Test
    void whatAnEventSetsRunsInItsTurn() {
        VirtualTimeScheduler agenda = new VirtualTimeScheduler();
        List<String> ran = new ArrayList<>();
        agenda.schedule(5, () -> {
            ran.add("a" + agenda.now());
            agenda.schedule(0, () -> ran.add("c" + agenda.now()));
            agenda.schedule(-3, () -> ran.add("d" + agenda.now()));
            agenda.schedule(2, () -> ran.add("e" + agenda.now()));
        });
        agenda.schedule(5, () -> ran.add("b" + agenda.now()));
        agenda.runUntil(100);
        assertEquals(List.of("a5.0", "b5.0", "c5.0", "d5.0", "e7.0"), ran);
        assertTrue(agenda.now() == 100);
    }
}
