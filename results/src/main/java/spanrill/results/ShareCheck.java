package spanrill.results;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Recomputes from the rows alone the rate that the sharing rule gives each session, and compares this rate with the
 * bytes received. The rule: on a link whose demand exceeds its capacity, every session gets the same share of its
 * requested rate. On an uplink where the demand that the links let through exceeds the capacity, every session's rate
 * is reduced once more by one common share.
 *
 * <p>The check covers session-seconds with an overloaded link or uplink (granted share below {@value #OVERLOAD_SHARE})
 * in which the session requested bytes all the time. Seconds without a change in the rack are compared with the rule;
 * all of them are compared with the grants that the model recorded.
 */
public final class ShareCheck {
    /** A granted share below this value counts as overload. */
    public static final double OVERLOAD_SHARE = 0.98;

    /**
     * Relative errors of one comparison.
     *
     * @param count number of session-seconds
     * @param median median of the absolute errors
     * @param p95 95th percentile of the absolute errors
     * @param mean mean of the signed errors, which shows a bias
     */
    public record Errors(long count, double median, double p95, double mean) {}

    /**
     * Result of the check.
     *
     * @param receivedVsRule received bytes against the rule recomputed from rows, in seconds without a change
     * @param receivedVsModel received bytes against the model's grants, in all seconds
     * @param modelVsRule the model's grants against the rule recomputed from rows, in seconds without a change
     */
    public record Result(Errors receivedVsRule, Errors receivedVsModel, Errors modelVsRule) {
        /**
         * True when rows were compared and, in both comparisons of received bytes, the median of the absolute relative
         * errors is below 2% and their 95th percentile is below 5%.
         */
        public boolean passed() {
            return receivedVsRule.count() > 0
                    && receivedVsRule.median() < 0.02
                    && receivedVsRule.p95() < 0.05
                    && receivedVsModel.median() < 0.02
                    && receivedVsModel.p95() < 0.05;
        }
    }

    /** Identifies a box or a rack in one second. */
    private record SecondKey(int second, int id) {}

    private ShareCheck() {}

    /** Checks the rows of a run. */
    public static Result check(List<SecondRow> rows) {
        Map<SecondKey, Long> requestedByBox = new HashMap<>();
        Map<SecondKey, Long> linkCapacities = new HashMap<>();
        Map<SecondKey, Set<Integer>> boxesByRack = new HashMap<>();
        for (SecondRow row : rows) {
            SecondKey box = new SecondKey(row.second(), row.box());
            requestedByBox.merge(box, row.asked(), Long::sum);
            linkCapacities.put(box, row.linkGives());
            boxesByRack
                    .computeIfAbsent(new SecondKey(row.second(), row.rack()), k -> new HashSet<>())
                    .add(row.box());
        }
        Map<SecondKey, Long> demandByRack = new HashMap<>();
        boxesByRack.forEach((rack, boxes) -> {
            long sum = 0;
            for (int box : boxes) {
                SecondKey key = new SecondKey(rack.second(), box);
                sum += Math.min(requestedByBox.get(key), linkCapacities.get(key));
            }
            demandByRack.put(rack, sum);
        });
        List<Double> receivedVsRule = new ArrayList<>();
        List<Double> receivedVsModel = new ArrayList<>();
        List<Double> modelVsRule = new ArrayList<>();
        for (SecondRow row : rows) {
            if (!row.busy() || !row.cut() || row.grantedShare() >= OVERLOAD_SHARE || row.granted() < 1) {
                continue;
            }
            receivedVsModel.add(row.received() / row.granted() - 1);
            if (row.steady()) {
                long linkDemand = requestedByBox.get(new SecondKey(row.second(), row.box()));
                long rackDemand = demandByRack.get(new SecondKey(row.second(), row.rack()));
                double share = Math.min(1, (double) row.linkGives() / linkDemand)
                        * Math.min(1, (double) row.uplinkGives() / rackDemand);
                double expected = row.asked() * share * row.ms() / 1000;
                receivedVsRule.add(row.received() / expected - 1);
                modelVsRule.add(row.granted() / expected - 1);
            }
        }
        return new Result(errors(receivedVsRule), errors(receivedVsModel), errors(modelVsRule));
    }

    private static Errors errors(List<Double> signed) {
        if (signed.isEmpty()) {
            return new Errors(0, Double.NaN, Double.NaN, Double.NaN);
        }
        double[] absolute = signed.stream().mapToDouble(Math::abs).toArray();
        Arrays.sort(absolute);
        return new Errors(
                absolute.length,
                absolute[absolute.length / 2],
                absolute[(int) Math.min(absolute.length - 1, Math.ceil(absolute.length * 0.95) - 1)],
                signed.stream().mapToDouble(Double::doubleValue).average().orElse(0));
    }
}
