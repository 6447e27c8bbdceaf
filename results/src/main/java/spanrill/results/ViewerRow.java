package spanrill.results;

/**
 * One viewer of a run.
 *
 * @param viewer name of the viewer
 * @param cls class of the session that the viewer requests
 * @param cameMs time at which the viewer arrived, in ms since the start of the run
 * @param firstPlayMs time from the arrival to the first play, waits between requests included, in ms; -1 when the
 *     viewer never played
 * @param asks number of requests that the viewer sent
 * @param went reason why the viewer left for good; empty when the viewer was still present at the end of the run
 */
public record ViewerRow(String viewer, String cls, double cameMs, double firstPlayMs, int asks, String went) {}
