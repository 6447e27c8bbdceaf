/** Connections of viewers: listener, message validation, limits and graceful close. Used on the event loop only. */
package spanrill.node.client;
