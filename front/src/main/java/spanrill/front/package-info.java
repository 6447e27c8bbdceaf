/**
 * The running front. {@link spanrill.session.SessionCore} hosts one module on one event loop and is independent of
 * protocols. Package {@code dash} passes viewers' requests to the core, {@code box} carries out the module's
 * decisions, {@code list} provides the box list, {@code token} verifies the tokens of viewers, and {@code store}
 * keeps spent tokens over a restart.
 */
package spanrill.front;
