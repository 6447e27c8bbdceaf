package spanrill.node.client;

/** Bytes that all client connections together may hold for a purpose. Confined to the event loop. */
final class ByteBudget {
    private final int limit;
    private int used;

    ByteBudget(int limit) {
        this.limit = limit;
    }

    /** Takes bytes; false, and nothing is taken, when not so many are left. */
    boolean tryTake(int bytes) {
        if (bytes > limit - used) {
            return false;
        }
        used += bytes;
        return true;
    }

    /** Gives bytes back that were taken. */
    void giveBack(int bytes) {
        used -= bytes;
    }
}
