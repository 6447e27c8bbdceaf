package spanrill.standin.viewer;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.TimeUnit;
import spanrill.check.Tap;
import spanrill.standin.day.Arrival;
import spanrill.standin.day.Day;
import spanrill.standin.token.Issuer;

/**
 * All viewers of a day. They come at the times of the plan whatever becomes of those before (open loop), and
 * how late they were sent is measured.
 */
public final class Crowd {
    private final Day day;
    private final List<Arrival> arrivals;
    private final EventLoopGroup loops;
    private final FrontDoor door;
    private final Issuer issuer;
    private final Tap tap;
    private final CrowdStats stats = new CrowdStats();

    /** A crowd that comes when {@link #start} is called. */
    public Crowd(Day day, List<Arrival> arrivals, EventLoopGroup loops, FrontDoor door, Issuer issuer,
            Tap tap) {
        this.day = day;
        this.arrivals = arrivals;
        this.loops = loops;
        this.door = door;
        this.issuer = issuer;
        this.tap = tap;
    }

    /** The day begins now. */
    public void start() {
        double begin = tap.now();
        for (Arrival arrival : arrivals) {
            EventLoop loop = loops.next();
            loop.schedule(() -> {
                stats.late.recordValue((long) Math.max(0, (tap.now() - begin - arrival.atMs()) * 1000));
                new Viewer(arrival, day, loop, door, issuer, tap, stats).come();
            }, (long) (arrival.atMs() * 1000), TimeUnit.MICROSECONDS);
        }
    }

    /** What it met with so far. */
    public CrowdStats stats() {
        return stats;
    }
}
