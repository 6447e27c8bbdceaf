package spanrill.standin.box;

/** Measures the time that the boxes' event loop spends in the link model. Confined to that loop. */
final class LinkModelTimer {
    private long elapsedNanos;

    /** Runs work of the link model and adds its duration. */
    void measure(Runnable work) {
        long startNanos = System.nanoTime();
        work.run();
        elapsedNanos += System.nanoTime() - startNanos;
    }

    double elapsedMs() {
        return elapsedNanos / 1e6;
    }
}
