package spanrill.decisions;

/**
 * Whether a box's answer to a call-off proves that the attempt never ran. A box that is told to end an
 * attempt
 * that it has not begun keeps a tombstone for its key, so that a set-up that is still on its way is
 * refused. Its
 * word that nothing ran is proof only if the same process was there all the time since the set-up was sent: a
 * process that started later knows nothing of what ran before it.
 *
 * <p>Both times are durations on clocks of their own, so no two clocks are compared.
 */
public final class CancellationProof {
    /** A process must be older than the attempt by so much: durations are read at both ends of a wire. */
    private static final double SLACK_MS = 50;

    private CancellationProof() {}

    /**
     * Reads the answer.
     *
     * @param ran what the box says: true when the attempt ran there, null when it says nothing
     * @param upMs how long the box's process has been up, NaN when it doesn't say
     * @param sinceSentMs how long ago the attempt was sent
     */
    public static boolean provesNeverRan(Boolean ran, double upMs, double sinceSentMs) {
        return Boolean.FALSE.equals(ran) && upMs >= sinceSentMs + SLACK_MS;
    }
}
