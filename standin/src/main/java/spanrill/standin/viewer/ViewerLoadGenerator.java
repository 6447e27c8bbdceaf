package spanrill.standin.viewer;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.TimeUnit;
import spanrill.day.Arrival;

/**
 * All viewers of a day. They come at the times of the plan whatever becomes of those before (open loop), and
 * how late they were sent is measured.
 */
public final class ViewerLoadGenerator {
    private final ViewerContext stage;
    private final List<Arrival> arrivals;
    private final EventLoopGroup loops;

    /** A crowd that comes when {@link #start} is called. */
    public ViewerLoadGenerator(ViewerContext stage, List<Arrival> arrivals, EventLoopGroup loops) {
        this.stage = stage;
        this.arrivals = arrivals;
        this.loops = loops;
    }

    /** The day begins now. */
    public void start() {
        double begin = stage.tap().nowMs();
        for (Arrival arrival : arrivals) {
            EventLoop loop = loops.next();
            loop.schedule(
                    () -> {
                        double late = stage.tap().nowMs() - begin - arrival.atMs();
                        stage.stats().arrivalDelayMicros.recordValue((long) Math.max(0, late * 1000));
                        new Viewer(stage, arrival, loop).arrive();
                    },
                    (long) (arrival.atMs() * 1000),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** What it met with so far. */
    public ViewerStats stats() {
        return stage.stats();
    }
}
