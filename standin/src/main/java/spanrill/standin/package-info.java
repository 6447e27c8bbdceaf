/**
 * Stand-ins for the peers of a front, on loopback only: replay boxes ({@code box}), the registry of boxes
 * ({@code registry}), the token issuer ({@code token}), viewers ({@code viewer}), and the injection of a day's
 * troubles ({@code trouble}). They are implemented from this project's own specifications.
 */
package spanrill.standin;
