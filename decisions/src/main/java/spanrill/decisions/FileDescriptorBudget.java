package spanrill.decisions;

/**
 * Divides the file descriptors of the process between accepted connections and connections to servers. Servers
 * have a share of their own, so that a crowd of clients can't exhaust the descriptors needed to reach them.
 */
public final class FileDescriptorBudget {
    // Files of the runtime, the loop, discovery (two connections during a reconnect) and closing connections.
    private static final int RESERVED = 40;
    // Viewers hold at most a third of the descriptors; other clients need accepted connections beyond that.
    private static final double ACCEPTED_SHARE = 0.55;

    private final int maxViewerConnections;
    private final int maxServerConnections;

    /** Divides a limit of {@code descriptors}. */
    public FileDescriptorBudget(int descriptors) {
        int available = Math.max(16, descriptors - RESERVED);
        maxViewerConnections = (int) (ACCEPTED_SHARE * available);
        maxServerConnections = available - maxViewerConnections;
    }

    /** Maximum number of accepted connections. */
    public int maxViewerConnections() {
        return maxViewerConnections;
    }

    /** Maximum number of connections to servers. */
    public int maxServerConnections() {
        return maxServerConnections;
    }
}
