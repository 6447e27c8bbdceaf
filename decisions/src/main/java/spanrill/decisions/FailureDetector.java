package spanrill.decisions;

/**
 * Detects lost servers among those that hold sessions. A host that has crashed or lost its network does not reset
 * its connections: open ones stay open and silent, and new ones fail or stay silent. After a period of silence
 * the server is therefore tested on an open connection; without an answer, new connections are opened and tested.
 * When three of them remain without an answer, the server is considered gone.
 */
public final class FailureDetector {
    /** The next action. */
    public enum Step {
        /** Nothing. */
        NONE,
        /** Send a test on an open connection. */
        TEST,
        /** Open a new connection and send a test on it. */
        CONNECT,
        /** The server is gone. */
        GONE
    }

    // The sessions of a lost server must be released within 8 s; the limit leaves the rest for tests and connects.
    private static final double MAX_SILENCE_MS = 5000;
    private static final double SILENCE_WITHOUT_NOTES_MS = 4000;
    private static final int MAX_CONNECTS = 3;
    // Shorter than the interval between notes: a live server that holds sessions sends data within this time.
    private static final double RECENT_DATA_MS = 500;

    private final double silenceMs;
    private final double answerTimeoutMs;
    private double lastReceivedAt = Double.NaN;
    private double testedAt = Double.NaN;
    private double connectedAt = Double.NaN;
    private int connects;

    /**
     * Creates a detector for one server.
     *
     * @param silenceMs silence after which the server is tested
     * @param answerTimeoutMs time limit for the answer to a test and for opening a connection
     */
    public FailureDetector(double silenceMs, double answerTimeoutMs) {
        this.silenceMs = silenceMs;
        this.answerTimeoutMs = answerTimeoutMs;
    }

    /**
     * Silence after which a server is tested: two missed notes plus their delay, limited by the time within which
     * a loss must be detected.
     *
     * @param noteIntervalMs interval between the notes of the server, ms; 0: the server sends no notes
     * @param noteDelayMs delay of a note, ms
     */
    public static double silenceThresholdMs(double noteIntervalMs, double noteDelayMs) {
        return noteIntervalMs > 0
                ? Math.min(MAX_SILENCE_MS, 2 * noteIntervalMs + noteDelayMs)
                : SILENCE_WITHOUT_NOTES_MS;
    }

    /**
     * Records data from the server. An opened connection does not count: the kernel of a hung host may accept
     * connections.
     */
    public void onReceived(double now) {
        lastReceivedAt = now;
        testedAt = Double.NaN;
        connectedAt = Double.NaN;
        connects = 0;
    }

    /** True while the server has been silent for too long. */
    public boolean isSuspect() {
        return !Double.isNaN(testedAt);
    }

    /** The next action; to be requested periodically while the server holds sessions. */
    public Step nextStep(double now) {
        if (Double.isNaN(lastReceivedAt)) {
            lastReceivedAt = now;
        }
        if (now - lastReceivedAt < silenceMs) {
            return Step.NONE;
        }
        if (Double.isNaN(testedAt)) {
            testedAt = now;
            return Step.TEST;
        }
        if (now - testedAt < answerTimeoutMs) {
            return Step.NONE;
        }
        if (Double.isNaN(connectedAt) || now - connectedAt >= 2 * answerTimeoutMs) {
            if (connects >= MAX_CONNECTS) {
                return Step.GONE;
            }
            connectedAt = now;
            connects++;
            return Step.CONNECT;
        }
        return Step.NONE;
    }

    /**
     * Handles a refused connection: nothing listens at the address any more. Returns true when the server is
     * considered gone. Another open connection contradicts this only while it delivers data, because a connection
     * can stay open for good after its process has died.
     */
    public boolean isGoneAfterRefusal(double now, boolean hasOpenConnection) {
        return !hasOpenConnection || Double.isNaN(lastReceivedAt) || now - lastReceivedAt >= RECENT_DATA_MS;
    }
}
