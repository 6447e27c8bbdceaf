package spanrill.decisions;

/**
 * Which rung a segment is served at: the one asked, but never above the rung in force, which the module set,
 * and never below the floor of the class. Representations are made to be switched by concatenation (ISO/IEC
 * 23009-1, bitstreamSwitching), so a player decodes what it gets whatever it asked for.
 */
public final class RungLimiter {
    private RungLimiter() {}

    /** The rung to serve. */
    public static int effectiveRung(int asked, int inForce, int floor) {
        return Math.max(floor, Math.min(asked, inForce));
    }
}
