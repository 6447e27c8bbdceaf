package spanrill.decisions;

/**
 * Deadline of the answer to a viewer's request. The viewer's patience is counted from the time the request was
 * read, so time spent before the module gets the request (signature check, disk access) reduces the module's
 * share.
 *
 * @param patienceMs the viewer gives up after this time
 * @param marginMs answers are sent this long before the viewer gives up, to allow for their transmission
 */
public record AnswerDeadline(double patienceMs, double marginMs) {
    /** The core answers in place of the module this long after the module's time has run out. */
    private static final double GUARD_MS = 40;

    /** Checks that the margin is not negative and below the patience. */
    public AnswerDeadline {
        if (!(marginMs >= 0) || !(patienceMs > marginMs)) {
            throw new IllegalArgumentException("patienceMs must be above marginMs, and marginMs must not be negative");
        }
    }

    /** Time that remains for the module at {@code now}, for a request read at {@code arrivedAt}. */
    public double remainingMs(double now, double arrivedAt) {
        return totalMs() - (now - arrivedAt);
    }

    /** Time that the module has for a request created by the front itself, such as for a moved session. */
    public double totalMs() {
        return patienceMs - marginMs;
    }

    /** Time after which the core answers without the module. */
    public double guardDelayMs(double now, double arrivedAt) {
        return Math.max(0, remainingMs(now, arrivedAt) + GUARD_MS);
    }

    /** Time by which a request read at {@code arrivedAt} must be answered. */
    public double deadline(double arrivedAt) {
        return arrivedAt + totalMs();
    }
}
