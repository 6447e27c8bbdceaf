package spanrill.decisions;

/**
 * When a server that holds sessions and says nothing is suspect, and when it counts as gone. A vanished or
 * cut-off machine resets nothing: its open connections stay open and silent, new ones never come up. So
 * after a silence it is tested on an open connection; without an answer a new connection is tried; when
 * that does not come up either, twice, the server is gone.
 */
public final class SilenceWatch {
    /** What to do now. */
    public enum Step {
        /** Nothing. */
        NONE,
        /** Send a test on an open connection. */
        TEST,
        /** Open a new connection. */
        CONNECT
    }

    private static final int MOST_TRIES = 2;
    // Shorter than the time between two notes: with sessions there a server that lives says something sooner.
    private static final double QUIET_MS = 500;

    private final double silentMs;
    private final double answerMs;
    private double heardAt = Double.NaN;
    private double testedAt = Double.NaN;
    private double triedAt = Double.NaN;
    private int failed;

    /**
     * A watch.
     *
     * @param silentMs a silence of so long is tested
     * @param answerMs an answer, or a connection, that takes longer stays out
     */
    public SilenceWatch(double silentMs, double answerMs) {
        this.silentMs = silentMs;
        this.answerMs = answerMs;
    }

    /** Something came from it, or a connection to it came up. */
    public void heard(double now) {
        heardAt = now;
        testedAt = Double.NaN;
        triedAt = Double.NaN;
        failed = 0;
    }

    /** What to do now; asked every so often while sessions stand there. */
    public Step look(double now) {
        if (Double.isNaN(heardAt)) {
            heardAt = now;
        }
        if (now - heardAt < silentMs) {
            return Step.NONE;
        }
        if (Double.isNaN(testedAt)) {
            testedAt = now;
            return Step.TEST;
        }
        if (now - testedAt < answerMs) {
            return Step.NONE;
        }
        if (Double.isNaN(triedAt) || now - triedAt >= 2 * answerMs) {
            triedAt = now;
            return Step.CONNECT;
        }
        return Step.NONE;
    }

    /**
     * A connection was refused, so no process listens there any more: true when the server is gone by all
     * signs. An older connection that still stands says otherwise only while something comes on it: where a
     * process dies, one may be left open for good.
     */
    public boolean refused(double now, boolean othersStand) {
        return !othersStand || Double.isNaN(heardAt) || now - heardAt >= QUIET_MS;
    }

    /** A connection did not come up in time: true when the server is gone by all signs. */
    public boolean unreachable(double now) {
        failed++;
        return failed >= MOST_TRIES && !Double.isNaN(heardAt) && now - heardAt >= silentMs;
    }
}
