package spanrill.emulator.bound;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The most that all who watch at one moment can earn together, with all knowledge, free moves and no set-up
 * time, while links and uplinks stand as they do and titles are held where they are.
 *
 * <p>It is an upper bound. Each session at a box gets at most its share of its rate, shares fit the links
 * and uplinks, and a session's worth is on or under its {@link Wish}; so what any policy has playing is one
 * point of this relaxation, in which rates may be any, sessions may be split over holders, and places, seats
 * and floors don't count.
 *
 * <p>It is the relaxation's optimum. The amounts of titles that {@link HolderFlow} can carry at once are a
 * polymatroid (Megiddo, 1974: multi-source flows), hull steps are parallel elements of it, and the greedy
 * order by worth for each byte is best over a polymatroid (Edmonds, 1970); concave hulls make the order
 * within a wish come by itself.
 */
public final class BestPossible {
    private record Group(int title, double density, long rate) {}

    private BestPossible() {}

    /** The most that is earned a second. */
    public static double worth(List<Wish> wishes, HolderFlow empty) {
        Map<Integer, Map<Double, Long>> sums = new HashMap<>();
        for (Wish wish : wishes) {
            for (Wish.Step step : wish.steps()) {
                sums.computeIfAbsent(wish.title(), k -> new HashMap<>()).merge(step.density(), step.rate(), Long::sum);
            }
        }
        List<Group> groups = new ArrayList<>();
        sums.forEach((title, steps) -> steps.forEach((density, rate) -> groups.add(new Group(title, density, rate))));
        groups.sort(Comparator.comparingDouble(Group::density).reversed().thenComparingInt(Group::title));
        double worth = 0;
        for (Group group : groups) {
            worth += empty.add(group.title(), group.rate()) * group.density();
        }
        return worth;
    }
}
