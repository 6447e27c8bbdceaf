package spanrill.decisions;

/**
 * Decides whether the answer of a box to a cancelled attempt proves that the attempt never ran. A box that gets
 * the cancellation of an unknown attempt keeps a tombstone for its key and refuses a set-up that arrives later.
 * The answer "never ran" is proof only when the process of the box has been up since before the set-up was sent:
 * a process that started later does not know what ran before.
 *
 * <p>Both times are durations, each measured on its own clock, so that no two clocks are compared.
 */
public final class CancellationProof {
    /** Minimum excess of the process's uptime over the attempt's age: the two are read on different hosts. */
    private static final double MIN_EXCESS_MS = 50;

    private CancellationProof() {}

    /**
     * Returns true when the attempt is proven never to have run.
     *
     * @param ran the answer of the box: true when the attempt ran, null when unknown
     * @param upMs uptime of the box's process, ms, NaN when unknown
     * @param sinceSentMs time since the attempt was sent, ms
     */
    public static boolean provesNeverRan(Boolean ran, double upMs, double sinceSentMs) {
        return Boolean.FALSE.equals(ran) && upMs >= sinceSentMs + MIN_EXCESS_MS;
    }
}
