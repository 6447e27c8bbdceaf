package spanrill.results;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Recomputes from rows alone what the stated rule gives each session, and compares it with what was received.
 * The rule: a link that is asked for more than it gives lets every session through with the same share; an
 * uplink that is asked for more than it gives, by what links let through, cuts them all once more by the
 * same.
 *
 * <p>Judged are session-seconds on overloaded links (share under 0.98) in which the session asked all the
 * time
 * and nothing changed in its rack; those with changes are compared with the model's own account.
 */
public final class ShareCheck {
    /** Under this share a link counts as overloaded. */
    public static final double OVERLOADED = 0.98;

    /**
     * Errors of one comparison.
     *
     * @param count session-seconds
     * @param median of the relative errors
     * @param p95 95th percentile of them
     * @param mean signed mean: a bias shows here
     */
    public record Errors(long count, double median, double p95, double mean) {}

    /**
     * What came of it.
     *
     * @param receivedVsRule received against the rule recomputed from rows, in steady seconds
     * @param receivedVsModel received against the model's account, in all seconds
     * @param modelVsRule the model's account against the rule recomputed, in steady seconds
     */
    public record Result(Errors receivedVsRule, Errors receivedVsModel, Errors modelVsRule) {
        /** True when the medians are under 2% and the 95th percentiles under 5%, over something. */
        public boolean passed() {
            return receivedVsRule.count() > 0
                    && receivedVsRule.median() < 0.02
                    && receivedVsRule.p95() < 0.05
                    && receivedVsModel.median() < 0.02
                    && receivedVsModel.p95() < 0.05;
        }
    }

    private record At(int second, int place) {}

    private ShareCheck() {}

    /** Judges rows. */
    public static Result check(List<SecondRow> rows) {
        Map<At, Long> asked = new HashMap<>();
        Map<At, Long> gives = new HashMap<>();
        Map<At, Set<Integer>> boxes = new HashMap<>();
        for (SecondRow row : rows) {
            At box = new At(row.second(), row.box());
            asked.merge(box, row.asked(), Long::sum);
            gives.put(box, row.linkGives());
            boxes.computeIfAbsent(new At(row.second(), row.rack()), k -> new HashSet<>())
                    .add(row.box());
        }
        Map<At, Long> through = new HashMap<>();
        boxes.forEach((rack, members) -> {
            long sum = 0;
            for (int box : members) {
                At at = new At(rack.second(), box);
                sum += Math.min(asked.get(at), gives.get(at));
            }
            through.put(rack, sum);
        });
        List<Double> rule = new ArrayList<>();
        List<Double> account = new ArrayList<>();
        List<Double> model = new ArrayList<>();
        for (SecondRow row : rows) {
            if (!row.busy() || !row.cut() || row.grantedShare() >= OVERLOADED || row.granted() < 1) {
                continue;
            }
            account.add(row.received() / row.granted() - 1);
            if (row.steady()) {
                long all = asked.get(new At(row.second(), row.box()));
                long passed = through.get(new At(row.second(), row.rack()));
                double share =
                        Math.min(1, (double) row.linkGives() / all) * Math.min(1, (double) row.uplinkGives() / passed);
                double expected = row.asked() * share * row.ms() / 1000;
                rule.add(row.received() / expected - 1);
                model.add(row.granted() / expected - 1);
            }
        }
        return new Result(errors(rule), errors(account), errors(model));
    }

    private static Errors errors(List<Double> signed) {
        if (signed.isEmpty()) {
            return new Errors(0, Double.NaN, Double.NaN, Double.NaN);
        }
        double[] sizes = signed.stream().mapToDouble(Math::abs).toArray();
        Arrays.sort(sizes);
        return new Errors(
                sizes.length,
                sizes[sizes.length / 2],
                sizes[(int) Math.min(sizes.length - 1, Math.ceil(sizes.length * 0.95) - 1)],
                signed.stream().mapToDouble(Double::doubleValue).average().orElse(0));
    }
}
