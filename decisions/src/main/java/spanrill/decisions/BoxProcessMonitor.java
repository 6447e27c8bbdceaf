package spanrill.decisions;

/**
 * What the stream of notes of a box says of the box's process: whether the sessions set up there still live,
 * and when the stream is opened anew. A stream that broke after it had told something is opened again at
 * once, since whether somebody still answers there decides if sessions are lost; one that tells nothing, or
 * can't be had, is tried with growing waits, so that a sick box costs little.
 */
public final class BoxProcessMonitor {
    /**
     * What follows.
     *
     * @param lostReason why the sessions of the box are lost, or null when they may live
     * @param reopenDelayMs open the stream again after this; negative: don't, nothing plays there
     */
    public record Reaction(SessionEnd lostReason, double reopenDelayMs) {}

    private final Backoff backoff;
    private double process = Double.NaN;
    private boolean told;

    /** Waits between tries from {@code leastMs} to {@code mostMs}, drawn by the seed. */
    public BoxProcessMonitor(double leastMs, double mostMs, long seed) {
        backoff = new Backoff(leastMs, mostMs, seed);
    }

    /**
     * A process said hello on the stream.
     *
     * @param id tells one process of the box from another
     * @return why the sessions set up before are lost, or null
     */
    public SessionEnd onHello(double id) {
        SessionEnd lost = !Double.isNaN(process) && process != id ? SessionEnd.BOX_RESTARTED : null;
        process = id;
        return lost;
    }

    /** Something came on the stream. */
    public void onData() {
        told = true;
        backoff.reset();
    }

    /**
     * The stream could not be had: nothing listens there, and the process that played the sessions is gone.
     *
     * @param playsAfter true when, those sessions lost, some are still set up or played there
     */
    public Reaction onUnreachable(boolean playsAfter) {
        told = false;
        return new BoxProcessMonitor.Reaction(SessionEnd.BOX_GONE, playsAfter ? backoff.nextDelayMs() : -1);
    }

    /** The stream broke. {@code plays}: sessions are set up or played there. */
    public Reaction onStreamBroken(boolean plays) {
        boolean atOnce = told;
        told = false;
        return new BoxProcessMonitor.Reaction(null, !plays ? -1 : atOnce ? 0 : backoff.nextDelayMs());
    }
}
