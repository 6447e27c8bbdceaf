package spanrill.setup;

/** A setting is missing or wrong; says which by its path. */
public final class InvalidFieldException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String path;
    private final String what;

    /**
     * A fault at a path.
     *
     * @param path path of the setting, as in {@code limits.max_attempts}
     * @param what what is wrong, as in "is missing"
     */
    public InvalidFieldException(String path, String what) {
        super("'" + path + "' " + what);
        this.path = path;
        this.what = what;
    }

    /** Path of the setting. */
    public String path() {
        return path;
    }

    /** What is wrong with it. */
    public String problem() {
        return what;
    }
}
