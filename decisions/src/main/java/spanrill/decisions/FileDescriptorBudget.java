package spanrill.decisions;

/**
 * How the descriptors that a process may hold are shared out. Viewers hold a third of them at most, other
 * peers come on top; servers have a share of their own, so that no crowd of connections can take the way to
 * them.
 */
public final class FileDescriptorBudget {
    // The runtime's own files, the loop, the bulletin (two connections at a change), and room for closing
    // ones.
    private static final int RESERVE = 40;
    private static final double VIEWERS = 0.55;

    private final int viewers;
    private final int servers;

    /** Shares out so many. */
    public FileDescriptorBudget(int sockets) {
        int free = Math.max(16, sockets - RESERVE);
        viewers = (int) (VIEWERS * free);
        servers = free - viewers;
    }

    /** Accepted connections. */
    public int maxViewerConnections() {
        return viewers;
    }

    /** Connections to servers. */
    public int maxServerConnections() {
        return servers;
    }
}
