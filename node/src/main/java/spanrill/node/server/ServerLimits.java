package spanrill.node.server;

/**
 * Limits for connections to servers; times are in ms.
 *
 * @param connectMs time-out of connecting
 * @param idleMs servers close connections that have been idle for this long
 * @param silentMs a server that holds sessions and has sent nothing for this long is tested
 * @param maxSetUpsPerConnection maximum number of set-ups open on one connection
 * @param testingAllowed true when test messages may be sent to servers
 */
public record ServerLimits(
        int connectMs, double idleMs, double silentMs, int maxSetUpsPerConnection, boolean testingAllowed) {}
