/**
 * Decisions of a front outside the module: the outcome of a failed set-up, the request that a token belongs to,
 * the state of a session, the current list of boxes, and retries.
 *
 * <p>The classes do no I/O, start no threads and read no clock: the time is a parameter of each event, in ms of
 * the front's clock, and randomness comes from a seed. Placement, rungs, moves and refusals are decided by the
 * module ({@link spanrill.Control}).
 */
package spanrill.decisions;
