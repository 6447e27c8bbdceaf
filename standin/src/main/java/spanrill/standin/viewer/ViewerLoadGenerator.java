package spanrill.standin.viewer;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.TimeUnit;
import spanrill.day.Arrival;

/**
 * Generates the viewers of a day. They arrive at the planned times regardless of how earlier viewers fare (open
 * loop); the delay of each arrival after its planned time is recorded.
 */
public final class ViewerLoadGenerator {
    private final ViewerContext context;
    private final List<Arrival> arrivals;
    private final EventLoopGroup loops;

    /** Creates a generator; {@link #start} schedules the arrivals. */
    public ViewerLoadGenerator(ViewerContext context, List<Arrival> arrivals, EventLoopGroup loops) {
        this.context = context;
        this.arrivals = arrivals;
        this.loops = loops;
    }

    /** Schedules all arrivals; the day begins now. */
    public void start() {
        double startedAt = context.recorder().nowMs();
        for (Arrival arrival : arrivals) {
            EventLoop loop = loops.next();
            loop.schedule(
                    () -> {
                        double delayMs = context.recorder().nowMs() - startedAt - arrival.atMs();
                        context.stats().arrivalDelayMicros.recordValue((long) Math.max(0, delayMs * 1000));
                        new Viewer(context, arrival, loop).arrive();
                    },
                    (long) (arrival.atMs() * 1000),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** Returns the statistics of all viewers so far. */
    public ViewerStats stats() {
        return context.stats();
    }
}
