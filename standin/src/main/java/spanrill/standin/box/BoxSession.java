package spanrill.standin.box;

import spanrill.model.box.BoxProcess;
import spanrill.model.link.FlowTokenBucket;
import spanrill.model.link.LinkNetwork.Flow;

/** A session at a box. */
final class BoxSession {
    /** What was granted while nothing was asked for may be caught up for so long. */
    private static final double CATCH_UP_MS = 250;

    final String key;
    final String token;
    final String cls;
    final int front;
    final String zone;
    final String title;
    final double scale;
    final int floor;
    final FlowTokenBucket bucket = new FlowTokenBucket(CATCH_UP_MS);
    Flow flow;
    /** The process that it plays at. */
    BoxProcess process;

    int rung;
    double seenAt;
    int segments;
    int transfers;
    boolean toldShort;
    // Of the second at hand.
    double idleMs;
    boolean hadRoom;
    double grantedBefore;
    long receivedBefore = -1;

    BoxSession(
            String key,
            String token,
            String cls,
            int front,
            String zone,
            String title,
            double scale,
            int floor,
            int rung,
            double now) {
        this.key = key;
        this.token = token;
        this.cls = cls;
        this.front = front;
        this.zone = zone;
        this.title = title;
        this.scale = scale;
        this.floor = floor;
        this.rung = rung;
        seenAt = now;
    }
}
