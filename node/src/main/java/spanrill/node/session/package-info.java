/**
 * The host of the module in a front node: sessions, attempts, time-outs, and who is owed a release. Neither
 * sockets nor a clock; all calls come from one thread.
 */
package spanrill.node.session;
