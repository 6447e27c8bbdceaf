package spanrill.results;

/**
 * A playing session that ended before its viewer wished it.
 *
 * @param second from the start of the run
 * @param cls class of session
 * @param cause what ended it
 */
public record EndRow(int second, String cls, String cause) {}
