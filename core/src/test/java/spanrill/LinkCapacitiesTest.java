package spanrill;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;

/** Guards against capacities that drift from the list while servers come, change and go one by one (review/7). */
class LinkCapacitiesTest {
    private static final double TOLERANCE_KB_PER_S = 1e-6;

    private final SessionControl.Settings settings = ScriptedFront.withKinds(
            3,
            new SessionControl.Kind("std", 24),
            new SessionControl.Kind("big", 96),
            new SessionControl.Kind("std", 7));
    private final LinkCapacities capacities = new LinkCapacities(settings);
    private final List<Server> listed = new ArrayList<>();

    private static Server server(int number, String kind, double weight) {
        return new Server("s" + number, "a", kind, number, ServerState.READY, weight, Double.NaN);
    }

    /** Compares with capacities of the same list that are made anew. */
    private void verifyEqualToCapacitiesOfTheList() {
        LinkCapacities expected = new LinkCapacities(settings);
        listed.forEach(expected::add);
        for (int rack = 0; rack < settings.racks(); rack++) {
            assertEquals(expected.uplinkKbPerS(rack), capacities.uplinkKbPerS(rack), TOLERANCE_KB_PER_S);
        }
        for (Server server : listed) {
            assertEquals(expected.linkKbPerS(server), capacities.linkKbPerS(server), TOLERANCE_KB_PER_S);
        }
    }

    @Test
    void changesOfSingleServersGiveTheCapacitiesOfTheWholeList() {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 2000; i++) {
            if (random.nextInt(3) > 0 || listed.isEmpty()) {
                double weight = i % 500 < 250 ? 1 : 0.3 * (1 + random.nextInt(9));
                Server added = server(random.nextInt(40), random.nextBoolean() ? "std" : "big", weight);
                listed.add(added);
                capacities.add(added);
            } else {
                capacities.remove(listed.remove(random.nextInt(listed.size())));
            }
            verifyEqualToCapacitiesOfTheList();
        }
    }

    @Test
    void streamsOfItsKindGiveTheSizeOfAServerWhereAllWeightsAreEqual() {
        capacities.add(server(0, "std", 2));
        Server big = server(1, "big", 2);
        capacities.add(big);
        // Twice the weight, and 96 streams where 60 are the mean.
        assertEquals(2 * 96 / 60.0 * settings.weightKb(), capacities.linkKbPerS(big), TOLERANCE_KB_PER_S);
        Server unequal = server(2, "std", 4);
        capacities.add(unequal);
        assertEquals(2 * settings.weightKb(), capacities.linkKbPerS(big), TOLERANCE_KB_PER_S);
        capacities.remove(unequal);
        assertEquals(2 * 96 / 60.0 * settings.weightKb(), capacities.linkKbPerS(big), TOLERANCE_KB_PER_S);
    }
}
