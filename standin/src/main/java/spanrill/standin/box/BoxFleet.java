package spanrill.standin.box;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import spanrill.check.EventRecorder;
import spanrill.day.Day;
import spanrill.day.FleetPlan;
import spanrill.model.link.LinkNetwork;
import spanrill.results.ParquetRows;
import spanrill.results.SecondRow;
import spanrill.standin.registry.Entry;

/** All boxes of a day. Each has its own port; all share one event loop and one model of links. */
public final class BoxFleet {
    private static final long SHAPING_INTERVAL_MS = 20;
    private static final long RECORD_INTERVAL_MS = 1000;

    private final List<StandinBox> boxes = new ArrayList<>();
    private final LinkNetwork network = new LinkNetwork();
    private final SessionSecondRecorder secondRecorder;
    private final LinkModelTimer linkModelTimer = new LinkModelTimer();
    private final EventLoop loop;
    private final EventRecorder recorder;
    private final Day day;
    private final long[] linkBytesPerS;
    private final long[] uplinkBytesPerS;
    private final Histogram shapingDelay = new Histogram(60_000_000, 3);
    private long nextTickNanos;
    private int ticks;

    /**
     * Creates the boxes that a day describes; {@link #open} starts them.
     *
     * @param receivedBytes media bytes that viewers received, by token
     * @param rows receives one row per session and second, or null to write none
     */
    public BoxFleet(
            Day day,
            long seed,
            EventLoop loop,
            EventRecorder recorder,
            ReceivedBytes receivedBytes,
            ParquetRows<SecondRow> rows) {
        this.loop = loop;
        this.recorder = recorder;
        this.day = day;
        FleetPlan plan = FleetPlan.of(day, seed);
        double bytesPerKilobyte = 1000 * day.byteScale();
        linkBytesPerS = new long[plan.boxes().size()];
        uplinkBytesPerS = new long[plan.uplinksKbytesPerS().size()];
        for (int rackNumber = 0; rackNumber < uplinkBytesPerS.length; rackNumber++) {
            uplinkBytesPerS[rackNumber] = Math.round(plan.uplinksKbytesPerS().get(rackNumber) * bytesPerKilobyte);
            network.addRack(uplinkBytesPerS[rackNumber]);
        }
        secondRecorder = new SessionSecondRecorder(network, receivedBytes, rows);
        for (FleetPlan.Box box : plan.boxes()) {
            linkBytesPerS[box.cell()] = Math.round(box.linkKbytesPerS() * bytesPerKilobyte);
            network.addBox(box.rack(), linkBytesPerS[box.cell()]);
            boxes.add(new StandinBox(
                    box.id(),
                    box.zone(),
                    box.cell(),
                    box.rack(),
                    box.linkKbytesPerS(),
                    network,
                    day,
                    loop,
                    recorder,
                    seed,
                    linkModelTimer));
        }
    }

    /** Starts all boxes warm and waits until they listen, for about two seconds at most. */
    public void open() throws InterruptedException {
        loop.submit(() -> boxes.forEach(box -> box.start(false))).sync();
        // Ports are bound on this loop: each scheduled task runs after the bind operations already queued.
        for (int i = 0;
                i < 400
                        && !loop.submit(() -> boxes.stream().allMatch(StandinBox::isRunning))
                                .sync()
                                .getNow();
                i++) {
            loop.schedule(() -> {}, 5, TimeUnit.MILLISECONDS).sync();
        }
        nextTickNanos = System.nanoTime() + SHAPING_INTERVAL_MS * 1_000_000;
        loop.scheduleAtFixedRate(this::tick, SHAPING_INTERVAL_MS, SHAPING_INTERVAL_MS, TimeUnit.MILLISECONDS);
        long reportMs = (long) day.notes().tellMs();
        loop.scheduleAtFixedRate(
                () -> boxes.forEach(StandinBox::reportLinkUse), reportMs, reportMs, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        shapingDelay.recordValue(Math.max(0, (nowNanos - nextTickNanos) / 1000));
        nextTickNanos += SHAPING_INTERVAL_MS * 1_000_000;
        double nowMs = recorder.nowMs();
        if (++ticks % (RECORD_INTERVAL_MS / SHAPING_INTERVAL_MS) == 0) {
            // Recorded before this tick writes: bytes of the previous tick have reached the viewers by now.
            secondRecorder.recordSecond(nowMs, boxes);
            boxes.forEach(StandinBox::reportDeliveredShare);
            boxes.forEach(box -> box.endIdleSessions(nowMs));
        }
        boxes.forEach(box -> box.sendGrantedBytes(nowMs, SHAPING_INTERVAL_MS));
    }

    /** Returns the boxes, in the order of their cells. */
    public List<StandinBox> boxes() {
        return boxes;
    }

    /** Returns the registry entries of all boxes at the start of the day. */
    public List<Entry> entries() {
        return boxes.stream()
                .map(box -> new Entry(box.id(), box.port(), box.zone(), "std", box.cell(), "ready", 1, 0))
                .toList();
    }

    /** Limits a box's link to a share of its capacity, from 0 to 1. */
    public void setLinkShare(int box, double share) {
        network.setLinkCapacity(recorder.nowMs(), box, Math.round(linkBytesPerS[box] * share));
    }

    /** Limits a rack's uplink to a share of its capacity, from 0 to 1. */
    public void setUplinkShare(int rack, double share) {
        network.setUplinkCapacity(recorder.nowMs(), rack, Math.round(uplinkBytesPerS[rack] * share));
    }

    /** Returns the time that the loop has spent in the link model, in ms. Must be called on the loop. */
    public double linkModelMs() {
        return linkModelTimer.elapsedMs();
    }

    /** Returns the delay of shaping ticks after their due time, in microseconds. */
    public Histogram shapingDelayMicros() {
        return shapingDelay;
    }

    /** Terminates all boxes. */
    public void close() throws InterruptedException {
        loop.submit(() -> boxes.forEach(box -> box.terminate("closed"))).sync();
    }
}
