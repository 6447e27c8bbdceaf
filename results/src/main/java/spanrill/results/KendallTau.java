package spanrill.results;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Rank correlation of two lists of figures about the same things: tau-b, which allows for ties (Kendall, The
 * Treatment of Ties in Ranking Problems, Biometrika 33, 1945), with a percentile bootstrap interval (Efron
 * and Tibshirani, 1993).
 *
 * @param tau from -1 (the other way round) to 1 (the same order)
 * @param low lower end of the interval that holds 95% of the resampled figures
 * @param high upper end of it
 */
public record KendallTau(double tau, double low, double high) {
    private static final int RESAMPLES = 2000;

    /**
     * The correlation.
     *
     * @throws IllegalArgumentException when the lists differ in length or have fewer than three figures
     */
    public static KendallTau of(double[] a, double[] b, long seed) {
        if (a.length != b.length || a.length < 3) {
            throw new IllegalArgumentException("ranks need two lists of one length, of three or more");
        }
        SplittableRandom random = new SplittableRandom(seed);
        double[] resampled = new double[RESAMPLES];
        double[] x = new double[a.length];
        double[] y = new double[a.length];
        for (int i = 0; i < RESAMPLES; i++) {
            for (int j = 0; j < a.length; j++) {
                int drawn = random.nextInt(a.length);
                x[j] = a[drawn];
                y[j] = b[drawn];
            }
            resampled[i] = tau(x, y);
        }
        Arrays.sort(resampled);
        return new KendallTau(
                tau(a, b), resampled[(int) (RESAMPLES * 0.025)], resampled[(int) (RESAMPLES * 0.975) - 1]);
    }

    private static double tau(double[] a, double[] b) {
        long agree = 0;
        long pairsA = 0;
        long pairsB = 0;
        for (int i = 0; i < a.length; i++) {
            for (int j = i + 1; j < a.length; j++) {
                int x = Double.compare(a[i], a[j]);
                int y = Double.compare(b[i], b[j]);
                agree += Integer.signum(x) * Integer.signum(y);
                pairsA += x != 0 ? 1 : 0;
                pairsB += y != 0 ? 1 : 0;
            }
        }
        return pairsA == 0 || pairsB == 0 ? 0 : agree / Math.sqrt((double) pairsA * pairsB);
    }
}
