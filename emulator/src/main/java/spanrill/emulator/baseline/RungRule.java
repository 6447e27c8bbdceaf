package spanrill.emulator.baseline;

/** Which rung a session plays at. */
public enum RungRule {
    /** The highest that it can use. */
    TOP,
    /** Its floor. */
    LOWEST,
    /** By what is delivered: up while there is room, down when there isn't, one rung at a time. */
    THROUGHPUT;

    private static final double FULL = 1;
    private static final double ROOM = 0.8;
    private static final double SHORT = 0.95;

    int first(int floor, int top) {
        return this == TOP ? top : floor;
    }

    int afterUse(int rung, double use, int floor, int top) {
        if (this != THROUGHPUT) {
            return rung;
        }
        return use > FULL ? Math.max(floor, rung - 1) : use < ROOM ? Math.min(top, rung + 1) : rung;
    }

    int afterDelivered(int rung, double share, int floor) {
        return this == THROUGHPUT && share < SHORT ? Math.max(floor, rung - 1) : rung;
    }
}
