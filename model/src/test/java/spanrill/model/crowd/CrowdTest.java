package spanrill.model.crowd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import spanrill.model.RandomStreams;
import spanrill.model.hall.HallNetwork;

class CrowdTest {
    private static long count(ArrivalRate rate, double from, double to, String purpose) {
        return PoissonArrivals.times(RandomStreams.of(7, purpose), rate, 0, 600_000).stream()
                .filter(t -> t >= from && t < to)
                .count();
    }

    @Test
    void arrivalsFollowTheirRate() {
        assertEquals(6000, count(ArrivalRate.constant(10), 0, 600_000, "a"), 300);
        ArrivalRate wave = ArrivalRate.wave(10, 0.5, 600_000);
        assertEquals(3000 + 10 * 0.5 * 600 / Math.PI, count(wave, 0, 300_000, "b"), 250);
        assertEquals(1000, count(ArrivalRate.burst(10, 100_000, 200_000), 0, 600_000, "c"), 120);
        ArrivalRate whistle = ArrivalRate.flashCrowd(200, 60_000, 5000);
        assertEquals(0, count(whistle, 0, 60_000, "d"));
        assertEquals(1000, count(whistle, 0, 600_000, "d"), 120);
        assertEquals(1000 * (1 - Math.exp(-1)), count(whistle, 60_000, 65_000, "d"), 100);
        assertEquals(0, count(ArrivalRate.constant(0), 0, 600_000, "e"));
    }

    @Test
    void theSameSeedGivesTheSameDay() {
        assertEquals(
                PoissonArrivals.times(RandomStreams.of(3, "x"), ArrivalRate.constant(5), 0, 10_000),
                PoissonArrivals.times(RandomStreams.of(3, "x"), ArrivalRate.constant(5), 0, 10_000));
    }

    @Test
    void titlesFollowZipf() {
        TitleSampler titles = new TitleSampler(RandomStreams.of(1, "t"), 100, 1);
        int[] seen = new int[100];
        for (int i = 0; i < 50_000; i++) {
            seen[titles.sample()]++;
        }
        assertEquals(2, (double) seen[0] / seen[1], 0.2);
        assertEquals(10, (double) seen[0] / seen[9], 2);
    }

    @Test
    void whoWaitsForAHallIsToldWhenItHeals() {
        spanrill.model.hall.HallHealNotifier watch = new spanrill.model.hall.HallHealNotifier(2);
        int[] told = {0};
        assertTrue(!watch.runWhenHealed(0, () -> told[0]++));
        watch.onIsolated(0);
        assertTrue(watch.runWhenHealed(0, () -> told[0]++) && !watch.runWhenHealed(1, () -> told[0]++));
        assertEquals(0, told[0]);
        watch.onHealed(0);
        watch.onHealed(0);
        assertEquals(1, told[0]);
    }

    @Test
    void cutsOfAHallOverlap() {
        HallNetwork halls = new HallNetwork(List.of("a", "b", "c"), 0.2, 1);
        halls.isolate(0);
        halls.isolate(0);
        assertTrue(!halls.canReach(0, 1) && !halls.canReach(1, 0) && halls.canReach(0, 0) && halls.canReach(1, 2));
        assertTrue(!halls.heal(0) && halls.isIsolated(0));
        assertTrue(halls.heal(0) && halls.canReach(0, 1));
        assertThrows(IllegalStateException.class, () -> halls.heal(0));
        assertEquals(1, halls.oneWayMs(0, 2));
        assertEquals(-1, halls.indexOf("d"));
    }
}
