/** The viewers' side: listener, connections, their limits, answers. On the event loop only. */
package spanrill.node.client;
