package spanrill.results;

/**
 * One viewer of a run.
 *
 * @param viewer its name
 * @param cls class of session that it wants
 * @param cameMs when it came, ms from the start
 * @param firstPlayMs from then to its first play, waits between tries included; -1 when it never played
 * @param asks requests that it wrote
 * @param went why it doesn't come again, empty when it was still there at the end
 */
public record ViewerRow(String viewer, String cls, double cameMs, double firstPlayMs, int asks, String went) {}
