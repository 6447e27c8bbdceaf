package spanrill.decisions;

/**
 * When a server that holds sessions and says nothing is suspect, and when it counts as gone. A vanished or
 * cut-off machine resets nothing: its open connections stay open and silent, new ones don't come up, or
 * come up and stay silent. So after a silence it is tested on an open connection; without an answer new
 * connections are tried, each with a test; when three of them brought nothing, the server is gone.
 */
public final class FailureDetector {
    /** What to do now. */
    public enum Step {
        /** Nothing. */
        NONE,
        /** Send a test on an open connection. */
        TEST,
        /** Open a new connection and test on it. */
        CONNECT,
        /** It is gone. */
        GONE
    }

    // A server may be gone for 8 s until its sessions must be released; most of that is for tests and tries.
    private static final double MOST_SILENT_MS = 5000;
    private static final double UNTOLD_MS = 4000;
    private static final int MOST_TRIES = 3;
    // Shorter than the time between two notes: with sessions there a server that lives says something sooner.
    private static final double QUIET_MS = 500;

    private final double silentMs;
    private final double answerMs;
    private double heardAt = Double.NaN;
    private double testedAt = Double.NaN;
    private double triedAt = Double.NaN;
    private int tries;

    /**
     * A watch.
     *
     * @param silentMs a silence of so long is tested
     * @param answerMs an answer, or a connection, that takes longer stays out
     */
    public FailureDetector(double silentMs, double answerMs) {
        this.silentMs = silentMs;
        this.answerMs = answerMs;
    }

    /** The silence to test after: two notes missed, which come each {@code tellMs} (0: none), told late. */
    public static double silenceThresholdMs(double tellMs, double lateMs) {
        return tellMs > 0 ? Math.min(MOST_SILENT_MS, 2 * tellMs + lateMs) : UNTOLD_MS;
    }

    /**
     * Something came from it. That a connection came up is no word of it: a dead machine's kernel may
     * accept.
     */
    public void onReceived(double now) {
        heardAt = now;
        testedAt = Double.NaN;
        triedAt = Double.NaN;
        tries = 0;
    }

    /** True while it is silent for longer than it should be. */
    public boolean isSuspect() {
        return !Double.isNaN(testedAt);
    }

    /** What to do now; asked every so often while sessions stand there. */
    public Step nextStep(double now) {
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
            if (tries >= MOST_TRIES) {
                return Step.GONE;
            }
            triedAt = now;
            tries++;
            return Step.CONNECT;
        }
        return Step.NONE;
    }

    /**
     * A connection was refused, so no process listens there any more: true when the server is gone by all
     * signs. An older connection that still stands says otherwise only while something comes on it: where a
     * process dies, one may be left open for good.
     */
    public boolean isGoneAfterRefusal(double now, boolean othersStand) {
        return !othersStand || Double.isNaN(heardAt) || now - heardAt >= QUIET_MS;
    }
}
