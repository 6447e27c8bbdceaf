package spanrill.setup;

/** A field is missing or has an invalid value. */
public final class InvalidFieldException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String path;
    private final String problem;

    /**
     * Creates an exception for one field.
     *
     * @param path path of the field, as in {@code limits.max_attempts}
     * @param problem the problem with the field, as in "is missing"
     */
    public InvalidFieldException(String path, String problem) {
        super("'" + path + "' " + problem);
        this.path = path;
        this.problem = problem;
    }

    /** Path of the field. */
    public String path() {
        return path;
    }

    /** The problem with the field, worded to follow its path. */
    public String problem() {
        return problem;
    }
}
