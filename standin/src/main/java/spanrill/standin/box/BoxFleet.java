package spanrill.standin.box;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.check.Tap;
import spanrill.standin.day.Day;
import spanrill.standin.day.Plan;

/** All boxes of a day, each on a port of its own, on one loop. */
public final class BoxFleet {
    private static final long TICK_MS = 20;

    private final List<StandinBox> boxes = new ArrayList<>();
    private final List<BoxRack> racks = new ArrayList<>();
    private final EventLoop loop;
    private final Tap tap;
    private final Day day;
    private long lastNanos = System.nanoTime();
    private double worstTickMs;

    /** The boxes that a day states; {@link #open} starts them. */
    public BoxFleet(Day day, long seed, EventLoop loop, Tap tap) {
        this.loop = loop;
        this.tap = tap;
        this.day = day;
        UniformRandomProvider random = Plan.random(seed, "fleet");
        Day.Boxes all = day.boxes();
        double[] links = new double[all.count()];
        double[] rackLinks = new double[all.racks()];
        for (int i = 0; i < links.length; i++) {
            links[i] = all.linkKb() * (1 + all.linkSpread() * (2 * random.nextDouble() - 1));
            rackLinks[i % all.racks()] += links[i];
        }
        for (int r = 0; r < all.racks(); r++) {
            racks.add(new BoxRack(rackLinks[r] * all.uplinkShare()
                    * (1 + all.uplinkSpread() * (2 * random.nextDouble() - 1))));
        }
        for (int i = 0; i < links.length; i++) {
            // The rack of a box is its cell mod the number of racks, and a rack stands in one hall.
            String zone = day.zones().get(i % all.racks() % day.zones().size());
            boxes.add(new StandinBox("box-" + i, zone, i, links[i], racks.get(i % all.racks()), day, loop,
                    tap, seed));
        }
    }

    /** Starts all, warm, and waits until they listen. */
    public void open() throws InterruptedException {
        loop.submit(() -> boxes.forEach(box -> box.start(false))).sync();
        // Binding is done by the loop itself; each round trip through it lets what is queued go first.
        for (int i = 0; i < 200 && !loop.submit(() -> boxes.stream().allMatch(StandinBox::up)).sync()
                .getNow(); i++) {
            loop.schedule(() -> { }, 5, TimeUnit.MILLISECONDS).sync();
        }
        loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(() -> {
            racks.forEach(BoxRack::settle);
            boxes.forEach(StandinBox::tellShare);
            boxes.forEach(box -> box.sweep(tap.now()));
        }, 1000, 1000, TimeUnit.MILLISECONDS);
        long tell = (long) day.notes().tellMs();
        loop.scheduleAtFixedRate(() -> boxes.forEach(StandinBox::tellUse), tell, tell, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        long now = System.nanoTime();
        double ms = (now - lastNanos) / 1e6;
        lastNanos = now;
        worstTickMs = Math.max(worstTickMs, ms);
        boxes.forEach(box -> box.advance(ms));
    }

    /** The boxes. */
    public List<StandinBox> boxes() {
        return boxes;
    }

    /** Uplinks of racks give this share. */
    public void uplink(int rack, double share) {
        racks.get(rack).gives(share);
    }

    /** Shares anew after a change of conditions. */
    public void settle() {
        racks.forEach(BoxRack::settle);
    }

    /** The longest time between two moves of the boxes' bytes: how late their shaping was at worst. */
    public double worstTickMs() {
        return worstTickMs;
    }

    /** Ends all. */
    public void close() throws InterruptedException {
        loop.submit(() -> boxes.forEach(box -> box.die("closed"))).sync();
    }
}
