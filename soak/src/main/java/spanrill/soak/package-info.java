/**
 * A dense soak of the front node: real node processes between scripted clients, servers and discovery on
 * loopback, faults drawn from a seed, and a judge that reads the log of what crossed the sockets.
 */
package spanrill.soak;
