/**
 * Connections to servers, one pool for each server id, and the messages received on them. All classes are confined to
 * the event loop.
 */
package spanrill.node.server;
