package spanrill.day;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.model.RandomStreams;

/**
 * Boxes and uplinks of a fleet, drawn from the seed of a day. The rack of a box is its cell modulo the number of racks;
 * all boxes of a rack are in one hall.
 *
 * @param boxes boxes in order of their cells
 * @param uplinksKbytesPerS uplink capacity of each rack in kB per second, without troubles
 */
public record FleetPlan(List<Box> boxes, List<Double> uplinksKbytesPerS) {
    /**
     * Planned properties of a box.
     *
     * @param id name of the box
     * @param cell cell of the box, which is also its number
     * @param rack number of the rack
     * @param zone name of the hall
     * @param linkKbytesPerS link capacity in kB per second, without troubles
     */
    public record Box(String id, int cell, int rack, String zone, double linkKbytesPerS) {}

    /** Draws the fleet of a day. The same day and seed give the same fleet. */
    public static FleetPlan of(Day day, long seed) {
        UniformRandomProvider random = RandomStreams.of(seed, "fleet");
        Day.Boxes settings = day.boxes();
        double[] linkSums = new double[settings.racks()];
        List<Box> boxes = new ArrayList<>();
        for (int i = 0; i < settings.count(); i++) {
            int rack = i % settings.racks();
            double link = settings.linkKb() * (1 + settings.linkSpread() * (2 * random.nextDouble() - 1));
            linkSums[rack] += link;
            boxes.add(new Box(
                    "box-" + i, i, rack, day.zones().get(rack % day.zones().size()), link));
        }
        List<Double> uplinks = new ArrayList<>();
        for (double linkSum : linkSums) {
            uplinks.add(
                    linkSum * settings.uplinkShare() * (1 + settings.uplinkSpread() * (2 * random.nextDouble() - 1)));
        }
        return new FleetPlan(List.copyOf(boxes), List.copyOf(uplinks));
    }

    /** Returns the sum of all link capacities in kB per second. */
    public double totalLinkKbytesPerS() {
        return boxes.stream().mapToDouble(Box::linkKbytesPerS).sum();
    }
}
