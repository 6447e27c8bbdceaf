package spanrill.results;

/**
 * An established session that ended before its viewer wanted to stop.
 *
 * @param second second since the start of the run
 * @param cls class of the session
 * @param cause cause of the end
 */
public record EndRow(int second, String cls, String cause) {}
