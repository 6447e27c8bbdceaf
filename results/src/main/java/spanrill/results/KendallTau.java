package spanrill.results;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Rank correlation of two lists of values for the same items: Kendall's tau-b, which accounts for ties (Kendall, The
 * Treatment of Ties in Ranking Problems, Biometrika 33, 1945), with a percentile bootstrap interval (Efron
 * and Tibshirani, 1993).
 *
 * @param tau the coefficient, from -1 (reversed order) to 1 (same order)
 * @param low lower bound of the 95% interval of the resampled coefficients
 * @param high upper bound of that interval
 */
public record KendallTau(double tau, double low, double high) {
    private static final int RESAMPLES = 2000;

    /**
     * Computes the correlation; equal seeds give equal intervals.
     *
     * @throws IllegalArgumentException when the lists differ in length or have fewer than three values
     */
    public static KendallTau of(double[] a, double[] b, long seed) {
        if (a.length != b.length || a.length < 3) {
            throw new IllegalArgumentException(
                    "rank correlation needs two lists of equal length with at least three values");
        }
        SplittableRandom random = new SplittableRandom(seed);
        double[] resampled = new double[RESAMPLES];
        double[] sampleA = new double[a.length];
        double[] sampleB = new double[a.length];
        for (int i = 0; i < RESAMPLES; i++) {
            for (int j = 0; j < a.length; j++) {
                int index = random.nextInt(a.length);
                sampleA[j] = a[index];
                sampleB[j] = b[index];
            }
            resampled[i] = tau(sampleA, sampleB);
        }
        Arrays.sort(resampled);
        return new KendallTau(
                tau(a, b), resampled[(int) (RESAMPLES * 0.025)], resampled[(int) (RESAMPLES * 0.975) - 1]);
    }

    private static double tau(double[] a, double[] b) {
        long concordantMinusDiscordant = 0;
        long untiedPairsA = 0;
        long untiedPairsB = 0;
        for (int i = 0; i < a.length; i++) {
            for (int j = i + 1; j < a.length; j++) {
                int orderA = Double.compare(a[i], a[j]);
                int orderB = Double.compare(b[i], b[j]);
                concordantMinusDiscordant += Integer.signum(orderA) * Integer.signum(orderB);
                untiedPairsA += orderA != 0 ? 1 : 0;
                untiedPairsB += orderB != 0 ? 1 : 0;
            }
        }
        return untiedPairsA == 0 || untiedPairsB == 0
                ? 0
                : concordantMinusDiscordant / Math.sqrt((double) untiedPairsA * untiedPairsB);
    }
}
