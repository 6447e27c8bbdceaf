/**
 * Stand-ins for what a front meets: replay boxes ({@code box}), the registry of boxes ({@code registry}), the
 * issuer of tokens ({@code token}) and viewers ({@code viewer}); the day that they play ({@code day}) and the
 * troubles that befall it ({@code trouble}). Written from this project's own pages; loopback only.
 */
package spanrill.standin;
