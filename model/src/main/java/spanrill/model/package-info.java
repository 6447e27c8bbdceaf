/**
 * Models of the environment of a front: bandwidth sharing on links ({@code link}), isolation of halls
 * ({@code hall}), viewer arrivals ({@code crowd}), players ({@code player}), set-ups on boxes ({@code box}) and
 * injected troubles ({@code trouble}).
 *
 * <p>The models use no sockets and no threads. Callers pass the time in milliseconds with each call, and all
 * random numbers come from seeded generators (Commons RNG). Rehearsals on sockets drive the models in real time,
 * the emulator drives the same classes in virtual time.
 */
package spanrill.model;
