package spanrill.loop;

/**
 * Clock of a front. The wall-clock time is read once at the start and advanced by the monotonic clock, so that
 * the time never goes back and can be compared with the start times of boxes, which are wall-clock times.
 */
public final class Clock {
    private final double startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    /** Monotonic time in ms with an arbitrary origin, for differences only. */
    public static double monotonicMs() {
        return System.nanoTime() / 1e6;
    }

    /** Current time, ms since 1970. */
    public double now() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }
}
