/** Client of discovery, which publishes the server list as server-sent events. Used on the event loop only. */
package spanrill.node.discovery;
