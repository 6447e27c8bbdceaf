package spanrill.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import spanrill.emulator.bound.BestPossible;
import spanrill.emulator.bound.HolderFlow;
import spanrill.emulator.bound.Wish;

class BestPossibleTest {
    @Test
    void aHullLeavesOutRungsThatEarnLittle() {
        Wish wish = Wish.of(3, new long[] {100, 200, 300}, new double[] {0.2, 0.5, 0.6});
        assertEquals(
                List.of(new Wish.Step(200, 0.5), new Wish.Step(100, 0.1)),
                wish.steps().stream()
                        .map(s -> new Wish.Step(s.rate(), Math.round(s.worth() * 1e9) / 1e9))
                        .toList());
    }

    /**
     * One box holds both titles, another the second only: the second goes over to leave room for the first.
     */
    @Test
    void whatIsCarriedMovesOverForOthersButIsNeverTaken() {
        HolderFlow flow = new HolderFlow(
                List.of(new int[] {0}, new int[] {0, 1}), new long[] {10, 10}, new int[] {0, 0}, new long[] {15});
        assertEquals(10, flow.add(1, 10));
        assertEquals(5, flow.add(0, 10), "the uplink has 15");
        assertEquals(0, flow.add(1, 1));
    }

    /** Small cases by trying all: every whole amount of every viewer at every holder. */
    @Property(tries = 400, seed = "20261201")
    void itIsWhatTryingAllFinds(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int boxes = 1 + random.nextInt(3);
        int racks = 1 + random.nextInt(2);
        long[] links = random.longs(boxes, 0, 4).toArray();
        long[] uplinks = random.longs(racks, 0, 5).toArray();
        int[] rackOf = random.ints(boxes, 0, racks).toArray();
        List<int[]> holders = new ArrayList<>();
        for (int title = 0; title < 2; title++) {
            int first = random.nextInt(boxes);
            holders.add(boxes > 1 && random.nextBoolean() ? new int[] {first, (first + 1) % boxes} : new int[] {first});
        }
        List<Wish> wishes = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            double worth = 1 + random.nextInt(3);
            wishes.add(Wish.of(random.nextInt(2), new long[] {1, 2, 3}, new double[] {
                worth * 0.5, worth * (0.6 + random.nextInt(3) * 0.1), worth
            }));
        }
        double best = tryAll(wishes, 0, holders, links.clone(), rackOf, uplinks.clone());
        assertEquals(best, BestPossible.worth(wishes, new HolderFlow(holders, links, rackOf, uplinks)), 1e-9);
    }

    private static double tryAll(
            List<Wish> wishes, int at, List<int[]> holders, long[] links, int[] rackOf, long[] uplinks) {
        if (at == wishes.size()) {
            return 0;
        }
        return tryHolders(wishes, at, 0, 0, holders, links, rackOf, uplinks);
    }

    private static double tryHolders(
            List<Wish> wishes,
            int at,
            int holder,
            int sum,
            List<int[]> holders,
            long[] links,
            int[] rackOf,
            long[] uplinks) {
        Wish wish = wishes.get(at);
        int[] own = holders.get(wish.title());
        if (holder == own.length) {
            return hull(wish, sum) + tryAll(wishes, at + 1, holders, links, rackOf, uplinks);
        }
        int box = own[holder];
        double best = 0;
        for (int amount = 0; amount + sum <= 3 && amount <= links[box] && amount <= uplinks[rackOf[box]]; amount++) {
            links[box] -= amount;
            uplinks[rackOf[box]] -= amount;
            best = Math.max(best, tryHolders(wishes, at, holder + 1, sum + amount, holders, links, rackOf, uplinks));
            links[box] += amount;
            uplinks[rackOf[box]] += amount;
        }
        return best;
    }

    private static double hull(Wish wish, double rate) {
        double left = rate;
        double worth = 0;
        for (Wish.Step step : wish.steps()) {
            double part = Math.min(left, step.rate());
            worth += part * step.worth() / step.rate();
            left -= part;
        }
        assertTrue(worth >= 0);
        return worth;
    }
}
