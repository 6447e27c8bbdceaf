package spanrill.node.server;

/**
 * Times towards servers, ms.
 *
 * @param connectMs a connection that has not come up by then has failed
 * @param idleMs servers close connections that were idle for so long
 * @param silentMs a server with sessions that has said nothing for so long is tested
 */
public record ServerTimes(int connectMs, double idleMs, double silentMs) { }
