package spanrill.emulator.bound;

import java.util.ArrayList;
import java.util.List;

/**
 * What one who watches could earn: the concave hull of rates and worths from nothing up. A session at a rung
 * that gets a share of its rate earns that share of the rung's worth, which is on or under the hull.
 *
 * @param title number of the title
 * @param steps of falling worth for each byte a second
 */
public record Wish(int title, List<Step> steps) {
    /**
     * Part of a hull.
     *
     * @param rate bytes a second that it takes more
     * @param worth what it earns more, a second
     */
    public record Step(long rate, double worth) {
        double density() {
            return worth / rate;
        }
    }

    /**
     * The hull of rungs.
     *
     * @param rates bytes a second of each rung that may be played, rising
     * @param worths what each earns, a second
     */
    public static Wish of(int title, long[] rates, double[] worths) {
        List<long[]> corners = new ArrayList<>();
        List<Double> heights = new ArrayList<>();
        corners.add(new long[] {0});
        heights.add(0.0);
        for (int i = 0; i < rates.length; i++) {
            while (corners.size() > 1
                    && slope(corners, heights, corners.size() - 2, corners.size() - 1)
                            <= (worths[i] - heights.get(heights.size() - 1))
                                    / (rates[i] - corners.get(corners.size() - 1)[0])) {
                corners.remove(corners.size() - 1);
                heights.remove(heights.size() - 1);
            }
            corners.add(new long[] {rates[i]});
            heights.add(worths[i]);
        }
        List<Step> steps = new ArrayList<>();
        for (int i = 1; i < corners.size(); i++) {
            double worth = heights.get(i) - heights.get(i - 1);
            if (worth > 0) {
                steps.add(new Step(corners.get(i)[0] - corners.get(i - 1)[0], worth));
            }
        }
        return new Wish(title, List.copyOf(steps));
    }

    private static double slope(List<long[]> corners, List<Double> heights, int a, int b) {
        return (heights.get(b) - heights.get(a)) / (corners.get(b)[0] - corners.get(a)[0]);
    }
}
