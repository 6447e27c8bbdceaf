package spanrill.standin.viewer;

/** Selects the front that a viewer connects to. Thread-safe. */
public interface FrontLocator {
    /**
     * Picks a front for a viewer of a hall.
     *
     * @param hall number of the hall
     * @param random a random number from 0 to 1
     * @return number of the front, which may have died without having been detected
     */
    int pick(int hall, double random);

    /** Returns the port of a front, or 0 when the front has never listened. */
    int port(int front);
}
