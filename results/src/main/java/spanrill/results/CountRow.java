package spanrill.results;

/**
 * What happened in one second of a run.
 *
 * @param second from the start
 * @param asked requests written
 * @param plays answered: plays
 * @param refused answered: refused
 * @param failed answered: failed
 * @param returns of the requests, those of viewers that came again
 * @param playing sessions at boxes
 * @param stalledMs time that players stood still
 */
public record CountRow(
        int second, long asked, long plays, long refused, long failed, long returns, long playing, long stalledMs) {}
