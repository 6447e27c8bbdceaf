/** Discovery: server-sent events with the list of servers. On the event loop only. */
package spanrill.node.discovery;
