package spanrill.standin.viewer;

/** Where viewers find fronts just now. Safe from any thread. */
public interface FrontLocator {
    /**
     * A front for a viewer of a hall.
     *
     * @param zone number of the hall
     * @param draw from 0 to 1
     * @return number of the front; one may be named that is dead but not known to be
     */
    int pick(int zone, double draw);

    /** Its port, or 0 when it never listened. */
    int port(int front);
}
