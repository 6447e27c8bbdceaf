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

/** All boxes of a day, each on a port of its own, on one loop, on the links of one model. */
public final class BoxFleet {
    private static final long TICK_MS = 20;
    private static final long SECOND_MS = 1000;

    private final List<StandinBox> boxes = new ArrayList<>();
    private final LinkNetwork network = new LinkNetwork();
    private final SessionSecondRecorder ledger;
    private final LinkModelTimer modelTime = new LinkModelTimer();
    private final EventLoop loop;
    private final EventRecorder tap;
    private final Day day;
    private final long[] linkBytes;
    private final long[] uplinkBytes;
    private final Histogram late = new Histogram(60_000_000, 3);
    private long dueNanos;
    private int ticks;

    /**
     * The boxes that a day states; {@link #open} starts them.
     *
     * @param receipts what viewers received
     * @param rows where seconds are written, or null
     */
    public BoxFleet(
            Day day,
            long seed,
            EventLoop loop,
            EventRecorder tap,
            ReceivedBytes receipts,
            ParquetRows<SecondRow> rows) {
        this.loop = loop;
        this.tap = tap;
        this.day = day;
        FleetPlan plan = FleetPlan.of(day, seed);
        double bytes = 1000 * day.byteScale();
        linkBytes = new long[plan.boxes().size()];
        uplinkBytes = new long[plan.uplinksKbytesPerS().size()];
        for (int r = 0; r < uplinkBytes.length; r++) {
            uplinkBytes[r] = Math.round(plan.uplinksKbytesPerS().get(r) * bytes);
            network.addRack(uplinkBytes[r]);
        }
        ledger = new SessionSecondRecorder(network, receipts, rows);
        for (FleetPlan.Box box : plan.boxes()) {
            linkBytes[box.cell()] = Math.round(box.linkKbytesPerS() * bytes);
            network.addBox(box.rack(), linkBytes[box.cell()]);
            boxes.add(new StandinBox(
                    box.id(),
                    box.zone(),
                    box.cell(),
                    box.rack(),
                    box.linkKbytesPerS(),
                    network,
                    day,
                    loop,
                    tap,
                    seed,
                    modelTime));
        }
    }

    /** Starts all, warm, and waits until they listen. */
    public void open() throws InterruptedException {
        loop.submit(() -> boxes.forEach(box -> box.start(false))).sync();
        // Binding is done by the loop itself; each round trip through it lets what is queued go first.
        for (int i = 0;
                i < 400
                        && !loop.submit(() -> boxes.stream().allMatch(StandinBox::isRunning))
                                .sync()
                                .getNow();
                i++) {
            loop.schedule(() -> {}, 5, TimeUnit.MILLISECONDS).sync();
        }
        dueNanos = System.nanoTime() + TICK_MS * 1_000_000;
        loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        long tell = (long) day.notes().tellMs();
        loop.scheduleAtFixedRate(() -> boxes.forEach(StandinBox::reportLinkUse), tell, tell, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        long now = System.nanoTime();
        late.recordValue(Math.max(0, (now - dueNanos) / 1000));
        dueNanos += TICK_MS * 1_000_000;
        double at = tap.nowMs();
        if (++ticks % (SECOND_MS / TICK_MS) == 0) {
            // Before this tick's bytes go out: what the last tick wrote has arrived by now.
            ledger.recordSecond(at, boxes);
            boxes.forEach(StandinBox::reportDeliveredShare);
            boxes.forEach(box -> box.endIdleSessions(at));
        }
        boxes.forEach(box -> box.sendGrantedBytes(at, TICK_MS));
    }

    /** The boxes. */
    public List<StandinBox> boxes() {
        return boxes;
    }

    /** The boxes as a registry lists them at the start. */
    public List<Entry> entries() {
        return boxes.stream()
                .map(box -> new Entry(box.id(), box.port(), box.zone(), "std", box.cell(), "ready", 1, 0))
                .toList();
    }

    /** A box's link gives this share. */
    public void setLinkShare(int box, double share) {
        network.setLinkCapacity(tap.nowMs(), box, Math.round(linkBytes[box] * share));
    }

    /** A rack's uplink gives this share. */
    public void setUplinkShare(int rack, double share) {
        network.setUplinkCapacity(tap.nowMs(), rack, Math.round(uplinkBytes[rack] * share));
    }

    /** Time that the loop spent in the model of links, ms; on the loop. */
    public double linkModelMs() {
        return modelTime.elapsedMs();
    }

    /** How late boxes moved their bytes, microseconds. */
    public Histogram shapingDelayMicros() {
        return late;
    }

    /** Ends all. */
    public void close() throws InterruptedException {
        loop.submit(() -> boxes.forEach(box -> box.terminate("closed"))).sync();
    }
}
