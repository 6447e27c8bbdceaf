package spanrill.standin.box;

/**
 * Time that the loop of the boxes spends in the model of links, told apart from the boxes' own. On that loop.
 */
final class LinkModelTimer {
    private long nanos;

    /** Does something that is the model's work. */
    void measure(Runnable work) {
        long begin = System.nanoTime();
        work.run();
        nanos += System.nanoTime() - begin;
    }

    double elapsedMs() {
        return nanos / 1e6;
    }
}
