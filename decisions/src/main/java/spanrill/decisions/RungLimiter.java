package spanrill.decisions;

/**
 * Limits the rung of a segment: the requested rung, at most the rung set by the module and at least the floor of
 * the class. Representations can be switched by concatenation (ISO/IEC 23009-1, bitstreamSwitching), so a player
 * can decode any rung, whichever it requested.
 */
public final class RungLimiter {
    private RungLimiter() {}

    /** The rung to serve. */
    public static int effectiveRung(int requested, int inForce, int floor) {
        return Math.max(floor, Math.min(requested, inForce));
    }
}
