/**
 * What a front decides around the module: how trouble on a wire is read, which request a token stands for,
 * what state a session is in, what a list of boxes adds up to, when to try a peer again.
 *
 * <p>Nothing here does I/O, keeps a thread or reads a clock: the time comes with each event, in milliseconds
 * of the front's clock, and randomness comes from a seed. Placement, rungs, moves and refusals are not here:
 * they are the module's ({@link spanrill.Control}).
 */
package spanrill.decisions;
