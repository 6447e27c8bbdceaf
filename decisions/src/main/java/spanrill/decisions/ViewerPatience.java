package spanrill.decisions;

/**
 * Which viewers' connections are closed. A refusal, an error or a close is owed within 3 s to whoever sends
 * nothing that can be used; a connection on which a viewer was served may stay for as long as it is of use.
 */
public final class ViewerPatience {
    // Of the 3 s within which a close is owed, from the connection or from the last useful message.
    private static final double SILENT_MS = 1500;
    // Viewers close connections without a session after 4 s; one that stays longer is only held.
    private static final double IDLE_MS = 10_000;
    // Viewers send nothing that can't be used; a few may be a fault, more is a flood.
    private static final int MOST_USELESS = 32;

    /**
     * A connection as it stands.
     *
     * @param ageMs time since it was accepted
     * @param quietMs time since the last useful message on it
     * @param open set-ups open on it
     * @param standing sessions that were set up on it and stand
     * @param proven true when something useful came on it: a set-up that could be used, or a test
     * @param within true when a message has begun and is not complete
     */
    public record View(double ageMs, double quietMs, int open, int standing, boolean proven,
            boolean within) { }

    /** True when it is to be closed. */
    public boolean over(View view) {
        if (view.open() > 0) {
            return false;
        }
        if (!view.proven() || view.within()) {
            return Math.min(view.ageMs(), view.quietMs()) >= SILENT_MS;
        }
        return view.standing() == 0 && view.quietMs() >= IDLE_MS;
    }

    /** True when so many messages that could not be used came on one connection that it is closed at once. */
    public boolean flooded(int useless) {
        return useless > MOST_USELESS;
    }
}
