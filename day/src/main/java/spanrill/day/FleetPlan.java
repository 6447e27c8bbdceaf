package spanrill.day;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.model.RandomStreams;

/**
 * The fleet that a day's seed draws. The rack of a box is its cell mod the number of racks, and a rack stands
 * in one hall.
 *
 * @param boxes by cell
 * @param uplinksKbytesPerS uplink of each rack, kB a second, without troubles
 */
public record FleetPlan(List<Box> boxes, List<Double> uplinksKbytesPerS) {
    /**
     * A box.
     *
     * @param id its name
     * @param cell its cell, also its number
     * @param zone hall that it stands in
     * @param linkKbytesPerS its link, kB a second, without troubles
     */
    public record Box(String id, int cell, int rack, String zone, double linkKbytesPerS) {}

    /** The fleet of a day; the same day and seed, the same fleet. */
    public static FleetPlan of(Day day, long seed) {
        UniformRandomProvider random = RandomStreams.of(seed, "fleet");
        Day.Boxes all = day.boxes();
        double[] rackLinks = new double[all.racks()];
        List<Box> boxes = new ArrayList<>();
        for (int i = 0; i < all.count(); i++) {
            int rack = i % all.racks();
            double link = all.linkKb() * (1 + all.linkSpread() * (2 * random.nextDouble() - 1));
            rackLinks[rack] += link;
            boxes.add(new Box(
                    "box-" + i, i, rack, day.zones().get(rack % day.zones().size()), link));
        }
        List<Double> uplinks = new ArrayList<>();
        for (double links : rackLinks) {
            uplinks.add(links * all.uplinkShare() * (1 + all.uplinkSpread() * (2 * random.nextDouble() - 1)));
        }
        return new FleetPlan(List.copyOf(boxes), List.copyOf(uplinks));
    }

    /** All links together, kB a second. */
    public double totalLinkKbytesPerS() {
        return boxes.stream().mapToDouble(Box::linkKbytesPerS).sum();
    }
}
