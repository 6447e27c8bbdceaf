/** Connections to servers, one set for each server id, and what comes on them. On the event loop only. */
package spanrill.node.server;
