package spanrill.decisions;

/**
 * Decides from the note stream of a box whether the sessions of the box are lost, and when the stream is
 * reopened. A stream that had delivered data is reopened at once after a failure, because the result shows
 * whether the process of the box still runs. A stream that delivers nothing or can't be opened is retried with
 * backoff, so that a faulty box causes little load.
 */
public final class BoxProcessMonitor {
    /**
     * How to react to a failure of the stream.
     *
     * @param lostReason why the sessions of the box are lost, or null when they may still run
     * @param reopenDelayMs delay before the stream is reopened, ms; negative: don't reopen, the box has no
     *     sessions
     */
    public record Reaction(SessionEnd lostReason, double reopenDelayMs) {}

    private final Backoff backoff;
    private double lastProcessId = Double.NaN;
    private boolean receivedData;

    /** Creates a monitor that retries after {@code minMs} to {@code maxMs}, with jitter from the seed. */
    public BoxProcessMonitor(double minMs, double maxMs, long seed) {
        backoff = new Backoff(minMs, maxMs, seed);
    }

    /**
     * Handles the greeting at the start of a stream.
     *
     * @param processId value of the greeting, which is different for each process of the box
     * @return why the earlier sessions of the box are lost, or null when the process is the same
     */
    public SessionEnd onHello(double processId) {
        SessionEnd lostReason =
                !Double.isNaN(lastProcessId) && lastProcessId != processId ? SessionEnd.BOX_RESTARTED : null;
        lastProcessId = processId;
        return lostReason;
    }

    /** Records that the stream delivered data. */
    public void onData() {
        receivedData = true;
        backoff.reset();
    }

    /**
     * Handles a refused connection: nothing listens at the address, so the process with the sessions has ended.
     *
     * @param hasSessions true when the box has sessions in set-up or play beyond the lost ones
     */
    public Reaction onUnreachable(boolean hasSessions) {
        receivedData = false;
        return new Reaction(SessionEnd.BOX_GONE, hasSessions ? backoff.nextDelayMs() : -1);
    }

    /** Handles a broken stream. {@code hasSessions}: the box has sessions in set-up or play. */
    public Reaction onStreamBroken(boolean hasSessions) {
        boolean reopenAtOnce = receivedData;
        receivedData = false;
        return new Reaction(null, !hasSessions ? -1 : reopenAtOnce ? 0 : backoff.nextDelayMs());
    }
}
