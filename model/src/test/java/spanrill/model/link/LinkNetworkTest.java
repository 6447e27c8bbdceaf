package spanrill.model.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import spanrill.model.link.LinkNetwork.Flow;

class LinkNetworkTest {
    /** Creates two racks of three boxes with random capacities, some of them 0. */
    private static LinkNetwork randomNetwork(Random random) {
        LinkNetwork network = new LinkNetwork();
        for (int rack = 0; rack < 2; rack++) {
            network.addRack(random.nextInt(5) == 0 ? 0 : random.nextInt(4000));
            for (int box = 0; box < 3; box++) {
                network.addBox(rack, random.nextInt(6) == 0 ? 0 : random.nextInt(2000));
            }
        }
        return network;
    }

    /** Computes the share of a box from the documented rule, the requested rates and the capacities. */
    private static double expectedShare(LinkNetwork network, int box) {
        int rack = box / 3;
        double passedByLinks = 0;
        for (int other = rack * 3; other < rack * 3 + 3; other++) {
            passedByLinks += Math.min(network.requestedBytesPerS(other), network.linkCapacity(other));
        }
        double linkShare = network.requestedBytesPerS(box) <= network.linkCapacity(box)
                ? 1
                : (double) network.linkCapacity(box) / network.requestedBytesPerS(box);
        return linkShare
                * (passedByLinks <= network.uplinkCapacity(rack) ? 1 : network.uplinkCapacity(rack) / passedByLinks);
    }

    /**
     * After any sequence of changes, each share follows the rule and no link or uplink carries more than its capacity.
     */
    @Property(tries = 400, seed = "20261201")
    void sharesFollowTheRuleAfterRandomChanges(@ForAll long seed, @ForAll @IntRange(min = 1, max = 120) int changes) {
        Random random = new Random(seed);
        LinkNetwork network = randomNetwork(random);
        List<Flow> flows = new ArrayList<>();
        double now = 0;
        for (int i = 0; i < changes; i++) {
            now += random.nextInt(50);
            switch (flows.isEmpty() ? 0 : random.nextInt(5)) {
                case 0, 1 -> flows.add(network.addFlow(now, random.nextInt(6), random.nextInt(900)));
                case 2 -> network.removeFlow(now, flows.remove(random.nextInt(flows.size())));
                case 3 -> network.setRate(now, flows.get(random.nextInt(flows.size())), random.nextInt(900));
                default -> {
                    if (random.nextBoolean()) {
                        network.setLinkCapacity(now, random.nextInt(6), random.nextInt(2000));
                    } else {
                        network.setUplinkCapacity(now, random.nextInt(2), random.nextInt(4000));
                    }
                }
            }
            for (int box = 0; box < 6; box++) {
                assertEquals(expectedShare(network, box), network.share(box), 1e-12);
                assertTrue(network.requestedBytesPerS(box) * network.share(box) <= network.linkCapacity(box) + 1e-6);
            }
            for (int rack = 0; rack < 2; rack++) {
                double carried = 0;
                double passedByLinks = 0;
                for (int box = rack * 3; box < rack * 3 + 3; box++) {
                    carried += network.requestedBytesPerS(box) * network.share(box);
                    passedByLinks += Math.min(network.requestedBytesPerS(box), network.linkCapacity(box));
                }
                assertTrue(carried <= network.uplinkCapacity(rack) + 1e-6);
                // No capacity is left unused: an uplink is full or passes all that arrives.
                assertEquals(Math.min(passedByLinks, network.uplinkCapacity(rack)), carried, 1e-6);
            }
        }
    }

    /** The same flows get exactly the same shares whatever the order in which they are added. */
    @Property(tries = 200, seed = "20261201")
    void sharesDoNotDependOnTheOrderOfChanges(@ForAll long seed) {
        List<int[]> flows = new ArrayList<>();
        Random random = new Random(seed);
        for (int i = 0; i < 40; i++) {
            flows.add(new int[] {random.nextInt(6), random.nextInt(900)});
        }
        LinkNetwork inOrder = randomNetwork(new Random(seed));
        flows.forEach(f -> inOrder.addFlow(0, f[0], f[1]));
        Collections.shuffle(flows, random);
        LinkNetwork shuffled = randomNetwork(new Random(seed));
        flows.forEach(f -> shuffled.addFlow(0, f[0], f[1]));
        Flow temporary = shuffled.addFlow(0, 2, 777);
        shuffled.removeFlow(0, temporary);
        for (int box = 0; box < 6; box++) {
            assertEquals(inOrder.share(box), shuffled.share(box));
        }
    }

    @Test
    void uplinkLimitsFlowsWhenLinksHaveSpareCapacity() {
        LinkNetwork network = new LinkNetwork();
        int rack = network.addRack(1000);
        int a = network.addBox(rack, 2000);
        int b = network.addBox(rack, 2000);
        network.addFlow(0, a, 1000);
        network.addFlow(0, b, 1000);
        assertEquals(0.5, network.share(a));
        assertEquals(0.5, network.linkUtilization(a));
        assertEquals(2, network.uplinkUtilization(rack));
    }

    @Test
    void allFlowsOfALinkGetTheSameShareAfterItsCapacityDrops() {
        LinkNetwork network = new LinkNetwork();
        int rack = network.addRack(1_000_000);
        int box = network.addBox(rack, 40_000);
        List<Flow> flows = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            flows.add(network.addFlow(0, box, 500 + i * 25));
        }
        network.setLinkCapacity(1000, box, 10_000);
        double share = 10_000.0 / network.requestedBytesPerS(box);
        for (Flow flow : flows) {
            double grantedBeforeDrop = flow.rate();
            assertEquals(grantedBeforeDrop + flow.rate() * share, network.grantedBytes(2000, flow), 1e-6);
        }
        network.setLinkCapacity(2000, box, 40_000);
        assertEquals(1, network.share(box));
    }

    @Test
    void grantedBytesAccumulateOverRateChanges() {
        LinkNetwork network = new LinkNetwork();
        int box = network.addBox(network.addRack(1000), 1000);
        Flow flow = network.addFlow(0, box, 400);
        network.setRate(500, flow, 800);
        Flow other = network.addFlow(1000, box, 800);
        assertEquals(200 + 400, network.grantedBytes(1000, flow), 1e-9);
        assertEquals(200 + 400 + 500, network.removeFlow(2000, flow), 1e-9);
        assertEquals(500 + 800, network.grantedBytes(3000, other), 1e-9);
        assertThrows(IllegalArgumentException.class, () -> network.removeFlow(3000, flow));
    }

    @Test
    void linkWithoutCapacityGrantsNoBytes() {
        LinkNetwork network = new LinkNetwork();
        int box = network.addBox(network.addRack(1000), 0);
        Flow flow = network.addFlow(0, box, 400);
        assertEquals(0, network.grantedBytes(5000, flow));
        assertEquals(Double.POSITIVE_INFINITY, network.linkUtilization(box));
    }

    @Test
    void decreasingTimeAndRatesOutOfRangeAreRejected() {
        LinkNetwork network = new LinkNetwork();
        int box = network.addBox(network.addRack(1000), 1000);
        network.addFlow(10, box, 1);
        assertThrows(IllegalArgumentException.class, () -> network.addFlow(9, box, 1));
        assertThrows(IllegalArgumentException.class, () -> network.addFlow(11, box, -1));
        assertThrows(IllegalArgumentException.class, () -> network.setLinkCapacity(11, box, Long.MAX_VALUE));
    }

    @Test
    void bucketHoldsAtMostTheBytesOfItsDepth() {
        FlowTokenBucket bucket = new FlowTokenBucket(100);
        bucket.addGranted(500, 1);
        assertEquals(100, bucket.availableBytes());
        bucket.consume(100);
        bucket.addGranted(550.5, 1);
        assertEquals(50, bucket.availableBytes());
        bucket.consume(50);
        bucket.addGranted(551, 1);
        assertEquals(1, bucket.availableBytes(), "fractions of bytes accumulate");
    }
}
