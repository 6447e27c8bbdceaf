package spanrill.standin.box;

import spanrill.model.box.BoxProcess;
import spanrill.model.link.FlowTokenBucket;
import spanrill.model.link.LinkNetwork.Flow;

/** State of one session that a box plays. */
final class BoxSession {
    /** Limits the unused bytes that a session may catch up: what the link grants within this time. */
    private static final double MAX_CATCH_UP_MS = 250;

    final String key;
    final String token;
    final String serviceClass;
    final int front;
    final String zone;
    final String title;
    final double scale;
    final int floorRung;
    final FlowTokenBucket bucket = new FlowTokenBucket(MAX_CATCH_UP_MS);
    Flow flow;
    /** The process of the box that set the session up. */
    BoxProcess process;

    int rung;
    double lastRequestAt;
    int videoSegments;
    int openTransfers;
    boolean reportedShort;
    // Since the last recorded second.
    double idleMs;
    boolean linkHadRoom;
    double grantedBefore;
    long receivedBefore = -1;

    BoxSession(
            String key,
            String token,
            String serviceClass,
            int front,
            String zone,
            String title,
            double scale,
            int floorRung,
            int rung,
            double now) {
        this.key = key;
        this.token = token;
        this.serviceClass = serviceClass;
        this.front = front;
        this.zone = zone;
        this.title = title;
        this.scale = scale;
        this.floorRung = floorRung;
        this.rung = rung;
        lastRequestAt = now;
    }
}
