package spanrill.decisions;

/** Most useful input of a client connection so far, in ascending order. */
public enum ClientActivity {
    /** Nothing useful. */
    NOTHING_USEFUL,
    /** A platform test: the connection leads to no viewer. */
    TESTED,
    /** A valid set-up, or a release or an acknowledgement that names a known session: viewers use the connection. */
    REQUESTED,
    /** A viewer was served on the connection. */
    SERVED;

    /** True when the connection leads to viewers, whether or not one of them was served on it. */
    public boolean leadsToViewers() {
        return compareTo(REQUESTED) >= 0;
    }
}
