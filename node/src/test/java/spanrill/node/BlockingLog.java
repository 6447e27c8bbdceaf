package spanrill.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import spanrill.session.EventSink;

/** Once armed, blocks the thread that logs the next event of a given name until the test releases it. */
final class BlockingLog implements EventSink {
    private final String event;
    private final CountDownLatch blocked = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private volatile boolean armed;

    BlockingLog(String event) {
        this.event = event;
    }

    void arm() {
        armed = true;
    }

    boolean awaitBlocked(long ms) throws InterruptedException {
        return blocked.await(ms, TimeUnit.MILLISECONDS);
    }

    void release() {
        released.countDown();
    }

    @Override
    public void info(String loggedEvent, Object... fields) {
        if (armed && loggedEvent.equals(event)) {
            blocked.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void error(String loggedEvent, Throwable cause, Object... fields) {}
}
