package spanrill.bench;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import spanrill.model.link.LinkNetwork;

/**
 * What a change of rate costs, by the number of sessions on a rack of ten boxes; with and without a short
 * uplink.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class LinkNetworkBench {
    private static final int BOXES = 10;

    @Param({"10", "100", "1000", "10000", "100000"})
    private int sessions;

    @Param({"false", "true"})
    private boolean shortUplink;

    private LinkNetwork network;
    private LinkNetwork.Flow flow;
    private double now;
    private long rate;

    /** Fills a rack. */
    @Setup
    public void fill() {
        network = new LinkNetwork();
        int rack = network.addRack(shortUplink ? 500L * sessions : 1L << 40);
        for (int i = 0; i < BOXES; i++) {
            network.addBox(rack, 1L << 40);
        }
        for (int i = 0; i < sessions; i++) {
            network.addFlow(0, i % BOXES, 1000);
        }
        flow = network.addFlow(0, 0, 1000);
    }

    /** One session's rate changes, and its share is read. */
    @Benchmark
    public double change() {
        now += 1;
        rate = rate == 1000 ? 2000 : 1000;
        network.setRate(now, flow, rate);
        return network.share(0);
    }
}
