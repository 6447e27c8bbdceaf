/**
 * A model of what a front serves: links that share ({@code link}), halls that are cut off ({@code hall}),
 * crowds
 * that come ({@code crowd}), players that play, leave and return ({@code player}), troubles and whom they hit
 * ({@code trouble}).
 *
 * <p>Pure: the time comes with each call, in milliseconds, and every draw comes from a seed (Commons RNG). No
 * sockets, no threads. Rehearsals on sockets drive it in real time; runs in virtual time may drive the same
 * classes.
 */
package spanrill.model;
