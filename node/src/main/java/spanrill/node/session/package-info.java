/**
 * The host of the placement module in a front node: sessions, attempts, time-outs and pending releases. The package
 * uses neither sockets nor a clock of its own, and all calls are made on one thread.
 */
package spanrill.node.session;
