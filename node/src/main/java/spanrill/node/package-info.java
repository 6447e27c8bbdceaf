/**
 * The front node: the platform's protocol in and out around the module, in one process with one event loop.
 */
package spanrill.node;
