package spanrill.loop;

/**
 * A front's clock: milliseconds since 1970 as read once at the start, from then on monotonic, so that it
 * only advances and the starts of boxes (told in wall-clock time) can be compared with it.
 */
public final class Clock {
    private final double base = System.currentTimeMillis();
    private final long start = System.nanoTime();

    /** Milliseconds from no particular beginning, for differences only; never goes back. */
    public static double monotonicMs() {
        return System.nanoTime() / 1e6;
    }

    /** Now, in milliseconds. */
    public double now() {
        return base + (System.nanoTime() - start) / 1e6;
    }
}
