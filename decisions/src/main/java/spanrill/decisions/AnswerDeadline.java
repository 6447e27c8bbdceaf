package spanrill.decisions;

/**
 * When the answer to a request is due. The viewer's patience runs from the moment that its request was read;
 * whatever it waits for before the module hears of it (a signature, the disk) comes out of the same time.
 *
 * @param patienceMs the viewer gives up after this
 * @param marginMs answers are given so long before that, for the way back
 */
public record AnswerDeadline(double patienceMs, double marginMs) {
    /** After the module's time is up by so much, the core answers in its place. */
    private static final double NET_MS = 40;

    /** Checks the figures. */
    public AnswerDeadline {
        if (!(marginMs >= 0) || !(patienceMs > marginMs)) {
            throw new IllegalArgumentException("patience must be above the margin of answers");
        }
    }

    /** Time that the module has for an answer when it hears of the request now. */
    public double remainingMs(double now, double arrivedAt) {
        return totalMs() - (now - arrivedAt);
    }

    /** Time that the module has for a request that is made now, as a moved session's is. */
    public double totalMs() {
        return patienceMs - marginMs;
    }

    /** Time after which the core answers by itself. */
    public double guardDelayMs(double now, double arrivedAt) {
        return Math.max(0, remainingMs(now, arrivedAt) + NET_MS);
    }

    /** When a request that was read at a time has no use any more for what it waits for. */
    public double deadline(double arrivedAt) {
        return arrivedAt + totalMs();
    }
}
