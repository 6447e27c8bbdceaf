package spanrill.decisions;

/**
 * Measures pauses of the process: times in which the event loop read nothing, because the process was stopped, its
 * machine stood still or its CPU share was used up. A viewer's patience counts from the sending of the set-up, and
 * the time until SIGKILL from the sending of SIGTERM, so both may have begun with the pause.
 *
 * <p>What is read right after a pause may have arrived at any time of it. The monitor assumes the earliest.
 */
public final class PauseMonitor {
    /** Shorter gaps are normal operation of a busy loop, ms. */
    private static final double MIN_PAUSE_MS = 50;
    /**
     * Time for which input counts as having waited once the loop has read what was there, ms: it may take further
     * rounds.
     */
    private static final double READ_MS = 50;
    /**
     * Time after that within which a signal sent during the pause is handled, ms: the runtime starts a thread for it.
     */
    private static final double SIGNAL_MS = 250;
    /** Delays up to this are subtracted in full, ms; longer ones may be much longer than the message's wait. */
    private static final double FULL_DELAY_MS = 100;
    /** An answer up to 500 ms after the viewer's time is late but not lost; this leaves 100 ms to write it, ms. */
    private static final double LATE_ANSWER_MS = 400;

    private final double checkIntervalMs;
    private double lastCheckAt = Double.NaN;
    private double lastPauseEndAt = Double.NEGATIVE_INFINITY;
    private double lastPauseMs;
    private double inputReadAt = Double.NEGATIVE_INFINITY;
    private boolean inputPending;
    /** Time for which input may have waited at the end of the last pause, ms. */
    private double inputWaitMs;

    /** Creates a monitor of a loop that calls {@link #onCheck} every {@code checkIntervalMs}. */
    public PauseMonitor(double checkIntervalMs) {
        this.checkIntervalMs = checkIntervalMs;
    }

    /**
     * Records that the loop runs; to be called periodically.
     *
     * @return length of the pause that has just ended, ms; 0 when there was none
     */
    public double onCheck(double now) {
        double pauseMs = gapMs(now);
        boolean followsAPause = lastPauseEndAt == lastCheckAt;
        lastCheckAt = now;
        if (pauseMs < MIN_PAUSE_MS) {
            return 0;
        }
        // The loop may not have read between two pauses that no check separates.
        inputWaitMs = pauseMs + (followsAPause ? lastPauseMs : 0);
        lastPauseMs = pauseMs;
        lastPauseEndAt = now;
        inputPending = true;
        return pauseMs;
    }

    /** Records that the loop has read what had arrived at the end of the last pause. */
    public void onInputRead(double now) {
        inputPending = false;
        inputReadAt = now;
    }

    /** Longest time for which input that is read at {@code now} may have waited, ms. */
    public double maxWaitMs(double now) {
        return waitMs(now, READ_MS);
    }

    /** Longest time for which a signal that is handled at {@code now} may have waited, ms. */
    public double maxSignalWaitMs(double now) {
        return waitMs(now, SIGNAL_MS);
    }

    private double waitMs(double now, double afterReadMs) {
        boolean ofThePause = inputPending || now - inputReadAt < afterReadMs;
        return gapMs(now) + (ofThePause ? inputWaitMs : 0);
    }

    /**
     * Time that is left for a request read at {@code now}, ms; below 1 when none is. An answer within that time is not
     * lost even if the request arrived at the beginning of a pause.
     *
     * @param waitMs how long the viewer waits from when it sent the request, ms
     */
    public double remainingMs(double waitMs, double now) {
        double maxWaitMs = maxWaitMs(now);
        return waitMs - Math.min(maxWaitMs, Math.max(FULL_DELAY_MS, maxWaitMs - LATE_ANSWER_MS));
    }

    private double gapMs(double now) {
        return Double.isNaN(lastCheckAt) ? 0 : Math.max(0, now - lastCheckAt - checkIntervalMs);
    }
}
