/**
 * The front node: connects the placement module to viewers, servers and discovery by the platform protocol, in one
 * process with one event loop.
 */
package spanrill.node;
