package spanrill.model.crowd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import spanrill.model.RandomStreams;
import spanrill.model.hall.HallNetwork;

class CrowdTest {
    private static long countArrivals(ArrivalRate rate, double fromMs, double toMs, String purpose) {
        return PoissonArrivals.times(RandomStreams.of(7, purpose), rate, 0, 600_000).stream()
                .filter(time -> time >= fromMs && time < toMs)
                .count();
    }

    @Test
    void arrivalTimesMatchTheIntegralOfTheRate() {
        assertEquals(6000, countArrivals(ArrivalRate.constant(10), 0, 600_000, "a"), 300);
        ArrivalRate wave = ArrivalRate.wave(10, 0.5, 600_000);
        assertEquals(3000 + 10 * 0.5 * 600 / Math.PI, countArrivals(wave, 0, 300_000, "b"), 250);
        assertEquals(1000, countArrivals(ArrivalRate.burst(10, 100_000, 200_000), 0, 600_000, "c"), 120);
        ArrivalRate flashCrowd = ArrivalRate.flashCrowd(200, 60_000, 5000);
        assertEquals(0, countArrivals(flashCrowd, 0, 60_000, "d"));
        assertEquals(1000, countArrivals(flashCrowd, 0, 600_000, "d"), 120);
        assertEquals(1000 * (1 - Math.exp(-1)), countArrivals(flashCrowd, 60_000, 65_000, "d"), 100);
        assertEquals(0, countArrivals(ArrivalRate.constant(0), 0, 600_000, "e"));
    }

    @Test
    void arrivalTimesAreEqualForEqualSeeds() {
        assertEquals(
                PoissonArrivals.times(RandomStreams.of(3, "x"), ArrivalRate.constant(5), 0, 10_000),
                PoissonArrivals.times(RandomStreams.of(3, "x"), ArrivalRate.constant(5), 0, 10_000));
    }

    @Test
    void titleFrequenciesFollowZipfsLaw() {
        TitleSampler titles = new TitleSampler(RandomStreams.of(1, "t"), 100, 1);
        int[] counts = new int[100];
        for (int i = 0; i < 50_000; i++) {
            counts[titles.sample()]++;
        }
        assertEquals(2, (double) counts[0] / counts[1], 0.2);
        assertEquals(10, (double) counts[0] / counts[9], 2);
    }

    @Test
    void waitingActionRunsOnceWhenTheHallHeals() {
        spanrill.model.hall.HallHealNotifier notifier = new spanrill.model.hall.HallHealNotifier(2);
        int[] runs = {0};
        assertTrue(!notifier.runWhenHealed(0, () -> runs[0]++));
        notifier.onIsolated(0);
        assertTrue(notifier.runWhenHealed(0, () -> runs[0]++) && !notifier.runWhenHealed(1, () -> runs[0]++));
        assertEquals(0, runs[0]);
        notifier.onHealed(0);
        notifier.onHealed(0);
        assertEquals(1, runs[0]);
    }

    @Test
    void hallHealsWhenTheLastOfOverlappingIsolationsEnds() {
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
