package spanrill.results;

/**
 * Counts of one second of a run.
 *
 * @param second second since the start of the run
 * @param asked requests sent by viewers
 * @param plays requests answered with "plays"
 * @param refused requests answered with "refused"
 * @param failed requests answered with "failed"
 * @param returns the part of the requests that came from returning viewers
 * @param playing sessions established at boxes
 * @param stalledMs total time for which players stalled, in ms
 */
public record CountRow(
        int second, long asked, long plays, long refused, long failed, long returns, long playing, long stalledMs) {}
