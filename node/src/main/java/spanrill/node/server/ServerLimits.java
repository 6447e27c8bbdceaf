package spanrill.node.server;

/**
 * Limits towards servers; times in ms.
 *
 * @param connectMs a connection that has not come up by then has failed
 * @param idleMs servers close connections that were idle for so long
 * @param silentMs a server with sessions that has said nothing for so long is tested
 * @param mostOnOne set-ups open on one connection at most
 * @param mayTest true when servers may be tested
 */
public record ServerLimits(int connectMs, double idleMs, double silentMs, int mostOnOne, boolean mayTest) {}
